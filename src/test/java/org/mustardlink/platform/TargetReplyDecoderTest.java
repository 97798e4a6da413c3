package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.http.HttpReply;
import org.mustardlink.platform.TargetOrderClient.OrderResponse;
import org.mustardlink.platform.TargetOrderClient.ReportResponse;
import org.mustardlink.pool.LeaseReport;
import org.mustardlink.pool.LeaseReport.RunEnd;
import org.mustardlink.pool.LeaseReport.RunOutcome;
import org.mustardlink.pool.LeaseReport.RunProgress;
import org.mustardlink.pool.OrderVerdict;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.TaskName;

/** Tests how replies of targets to orders and to requests for reports are decoded. */
final class TargetReplyDecoderTest {
    private static final String JOB = "5c0e7a21d94b36f8";

    /** Guards against a field that is lost or taken for another one, also beside fields of later versions. */
    @Test
    void a_report_has_its_clock_and_all_its_runs() {
        ReportResponse response = report("{\"later\":{\"running\":[[1]],\"born\":7},\"ended\":[[12,\"" + JOB
                + ".0.1.2\",3,\"done\",[{}],9],[13,\"" + JOB + ".0.1.4\",1,\"alone\"]],\"clockMs\":1796543210123,"
                + "\"running\":[[\"" + JOB + ".1.2.3\",4,0,55],[\"" + JOB + ".1.2.5\",1]],\"born\":1796543000123}");

        assertThat(response)
                .isEqualTo(new ReportResponse(
                        OrderVerdict.DONE,
                        Optional.of(new LeaseReport(
                                1_796_543_210_123L,
                                1_796_543_000_123L,
                                ImmutableList.of(
                                        new RunProgress(run(1, 2, 3, 4), 55), new RunProgress(run(1, 2, 5, 1), 0)),
                                ImmutableList.of(
                                        new RunEnd(12, run(0, 1, 2, 3), RunOutcome.DONE),
                                        new RunEnd(13, run(0, 1, 4, 1), RunOutcome.BROKEN))))));
    }

    /** Guards against a missing or unusable number that fails the whole report. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"clockMs\":null,\"born\":[1,[2]],\"running\":[],\"ended\":null}",
                "{\"clockMs\":{\"a\":1},\"running\":5,\"ended\":\"x\"}"
            })
    void a_report_without_usable_fields_is_empty(String body) {
        assertThat(report(body))
                .isEqualTo(new ReportResponse(
                        OrderVerdict.DONE, Optional.of(new LeaseReport(0, 0, ImmutableList.of(), ImmutableList.of()))));
    }

    /** Guards against a clock that is lost because it has another notation of numbers. */
    @ParameterizedTest
    @ValueSource(strings = {"1796543210123", "1796543210123.0", "\"1796543210123\"", "1.796543210123e12"})
    void a_clock_is_read_in_each_notation_of_numbers(String clock) {
        assertThat(order(200, "{\"clockMs\":" + clock + "}"))
                .isEqualTo(new OrderResponse(OrderVerdict.DONE, 1_796_543_210_123L));
    }

    /** Guards against a truncated or malformed report that is taken for one in which the other runs are absent. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "null",
                "{\"clockMs\":1",
                "{\"clockMs\":1}x",
                "{\"clockMs\":1,\"running\":[[\"a.0.0.0\",1,0,3]",
                "{\"clockMs\":1,\"running\":[[\"a.0.0\",1,0,3]]}",
                "{\"clockMs\":1,\"running\":[[]]}",
                "{\"clockMs\":1,\"running\":[7]}",
                "{\"clockMs\":1,\"running\":{\"a\":1}}",
                "{\"clockMs\":1,\"ended\":[[1,\"a.0.0.0\",1,\"unheard-of\"]]}",
                "{\"clockMs\":1,\"ended\":[[1,\"a.0.0.0\",1]]}",
                "{\"clockMs\":1,\"ended\":[[1,[\"a.0.0.0\"],1,\"done\"]]}"
            })
    void a_malformed_report_counts_as_unknown(String body) {
        assertThat(report(body)).isEqualTo(new ReportResponse(OrderVerdict.UNKNOWN, Optional.empty()));
    }

    /** Guards against an order that is sent again, or given up, for a reason that the target did not give. */
    @ParameterizedTest
    @CsvSource({
        "200, '', DONE, 0",
        "200, 'no JSON', DONE, 0",
        "200, '{\"clockMs\":17}', DONE, 17",
        "409, '{\"reason\":\"fence\",\"clockMs\":17}', FENCED, 17",
        "409, '{\"clockMs\":17,\"reason\":\"old\"}', OLD, 17",
        "409, '{\"reason\":\"late\"}', LATE, 0",
        "409, '{\"reason\":\"room\"}', NO_ROOM, 0",
        "409, '{\"reason\":[\"room\"]}', REJECTED, 0",
        "409, '{\"reason\":\"room\"', REJECTED, 0",
        "409, '', REJECTED, 0",
        "421, '', OTHER_INSTANCE, 0",
        "500, '{\"reason\":\"fence\"}', UNKNOWN, 0"
    })
    void an_order_is_judged_by_status_and_reason(int status, String body, OrderVerdict verdict, long clockMs) {
        assertThat(order(status, body)).isEqualTo(new OrderResponse(verdict, clockMs));
    }

    /** Guards against a rejected request for a report whose reason is lost because of its runs. */
    @Test
    void a_rejected_request_for_a_report_is_judged_without_its_runs() {
        HttpReply reply = new HttpReply(409, ImmutableMap.of(), "{\"ended\":[[1]],\"reason\":\"fence\"}");

        assertThat(TargetOrderClient.decodeReportResponse(reply))
                .isEqualTo(new ReportResponse(OrderVerdict.FENCED, Optional.empty()));
    }

    private static OrderResponse order(int status, String body) {
        return TargetOrderClient.decodeOrderResponse(new HttpReply(status, ImmutableMap.of(), body));
    }

    private static ReportResponse report(String body) {
        return TargetOrderClient.decodeReportResponse(new HttpReply(200, ImmutableMap.of(), body));
    }

    private static RunId run(int occurrence, int step, int index, int attempt) {
        return new RunId(new TaskName(JOB, occurrence, step, index), attempt);
    }
}
