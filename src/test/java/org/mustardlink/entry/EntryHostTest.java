package org.mustardlink.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.Reason;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** Tests jobs on entry hosts with targets and a platform, all over loopback. */
class EntryHostTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final ImmutableMap<String, Object> TASK =
            ImmutableMap.of("payload", "{\"runMs\":100,\"answer\":\"ok\"}", "declaredMs", 100);
    private static final ImmutableMap<String, Object> JOB =
            ImmutableMap.of("service", TestBed.SERVICE, "team", "clerks", "tasks", ImmutableList.of(TASK, TASK, TASK));

    private TestBed bed;
    private HttpRequester requester;
    private CallerClient caller;

    @BeforeEach
    void start() {
        bed = TestBed.start(TestBed.Shape.demo());
        requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        caller = new CallerClient(requester);
    }

    @AfterEach
    void stop() {
        requester.close();
        bed.close();
    }

    /** Guards against answers that miss the result of a task or contain the result of another task. */
    @Test
    void a_job_returns_the_results_of_all_tasks() {
        InetSocketAddress entry = bed.callerAddresses().get(0);
        String session = caller.openSession(entry).join();

        VerdictDocument verdict =
                caller.submit(entry, session, 0, JOB, DEADLINE).join();

        assertThat(verdict.reason()).isEqualTo(Reason.OK);
        assertThat(verdict.results()).containsExactly("ok", "ok", "ok");
    }

    /** Guards against tasks that start twice when two copies of a job arrive at two entry hosts at the same time. */
    @Test
    void two_copies_of_a_job_at_two_entry_hosts_start_each_task_once() {
        ImmutableList<InetSocketAddress> entries = bed.callerAddresses();
        String session = caller.openSession(entries.get(0)).join();

        CompletableFuture<VerdictDocument> first = caller.submit(entries.get(0), session, 7, JOB, DEADLINE);
        CompletableFuture<VerdictDocument> second = caller.submit(entries.get(3), session, 7, JOB, DEADLINE);

        assertThat(first.join().reason()).isEqualTo(Reason.OK);
        assertThat(second.join()).isEqualTo(first.join());
        assertThat(bed.repeatedStarts()).isEqualTo(0);
        assertThat(bed.targets().stream()
                        .mapToInt(target -> target.startsByTask().size())
                        .sum())
                .isEqualTo(3);
    }

    /** Guards against an answer that is returned to the caller although its body was damaged in transit. */
    @Test
    void a_damaged_answer_fails_the_job() {
        bed.targets().forEach(target -> target.switchMode(StandInTarget.Mode.DAMAGE));
        InetSocketAddress entry = bed.callerAddresses().get(0);
        String session = caller.openSession(entry).join();

        VerdictDocument verdict =
                caller.submit(entry, session, 0, JOB, DEADLINE).join();

        assertThat(verdict.reason()).isEqualTo(Reason.ANSWER_DAMAGED);
        assertThat(verdict.results()).isEmpty();
    }
}
