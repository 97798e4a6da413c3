package org.mustardlink.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.mustardlink.config.replica.ChangeStatus;
import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.drain.TargetReport;
import org.mustardlink.peer.thrift.ConfigStanding;
import org.mustardlink.peer.thrift.DrainReport;

/** Converts configuration pages and drain reports to and from Thrift messages. */
final class ConfigMessages {
    private ConfigMessages() {}

    static org.mustardlink.peer.thrift.ConfigPage toThrift(ConfigPage page) {
        org.mustardlink.peer.thrift.ConfigPage converted =
                new org.mustardlink.peer.thrift.ConfigPage(page.ready(), page.offset());
        if (!page.records().isEmpty()) {
            converted.setRecords(page.records());
        }
        page.snapshot().ifPresent(converted::setSnapshot);
        if (page.changeStatus() != ChangeStatus.UNKNOWN) {
            converted.setStanding(ConfigStanding.valueOf(page.changeStatus().name()));
        }
        return converted;
    }

    static ConfigPage fromThrift(org.mustardlink.peer.thrift.ConfigPage page) {
        return new ConfigPage(
                page.isReady(),
                page.getOffset(),
                page.isSetRecords() ? ImmutableList.copyOf(page.getRecords()) : ImmutableList.of(),
                Optional.ofNullable(page.getSnapshot()),
                page.isSetStanding() ? ChangeStatus.valueOf(page.getStanding().name()) : ChangeStatus.UNKNOWN);
    }

    static DrainReport toThrift(TargetReport report) {
        return new DrainReport(
                report.draining(), report.outstanding(), report.remaining().toMillis(), report.reason());
    }

    static TargetReport fromThrift(DrainReport report) {
        return new TargetReport(
                report.isDraining(),
                report.getOutstanding(),
                Duration.ofMillis(report.getRemainingMs()),
                report.getReason());
    }
}
