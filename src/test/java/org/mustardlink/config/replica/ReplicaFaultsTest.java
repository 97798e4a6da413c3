package org.mustardlink.config.replica;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.EntityKey;
import org.mustardlink.config.records.Kind;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.config.records.Snapshots;

class ReplicaFaultsTest {
    private static final EntityKey CLERKS = EntityKey.of(Kind.TEAM, "clerks");

    private final FakeLog log = new FakeLog();

    /** Guards against a host that stands still, or skips records, when those it lacks have expired. */
    @Test
    void expired_records_are_replaced_by_the_newest_snapshot_that_can_be_read() {
        appendChanges(6);
        append(
                ConfigReader.SNAPSHOT_STREAM,
                Snapshots.write(ConfigState.empty().apply(log.records(ConfigReader.CONFIG_STREAM))));
        append(ConfigReader.SNAPSHOT_STREAM, "{\"format\":1,\"offset\":99999,\"entities\":[]}");
        append(ConfigReader.SNAPSHOT_STREAM, "damaged");
        appendChanges(2);
        log.expire(ConfigReader.CONFIG_STREAM, 4);

        FakeHosts.Host host = new FakeHosts(log, 1).host(0);
        host.runSteps(20);

        assertThat(host.replica().isReady()).isTrue();
        assertThat(host.replica().state())
                .isEqualTo(ConfigState.empty().apply(log.records(ConfigReader.CONFIG_STREAM)));
    }

    /** Guards against a running host whose next records expire while it is cut off from log and peers. */
    @Test
    void a_gap_after_boot_is_closed_by_a_snapshot_and_never_skipped() {
        appendChanges(2);
        FakeHosts.Host host = new FakeHosts(log, 1).host(0);
        host.runSteps(20);
        appendChanges(4);
        log.expire(ConfigReader.CONFIG_STREAM, 5);
        host.runSteps(20);
        assertThat(host.replica().offset()).isEqualTo(2);

        append(
                ConfigReader.SNAPSHOT_STREAM,
                Snapshots.write(ConfigState.empty().apply(log.records(ConfigReader.CONFIG_STREAM))));
        host.runSteps(20);

        assertThat(host.replica().offset()).isEqualTo(6);
    }

    /** Guards against serving without any configuration, and against a boot that needs the platform. */
    @Test
    void with_the_platform_down_a_host_boots_from_its_peers_or_not_at_all() {
        appendChanges(3);
        FakeHosts hosts = new FakeHosts(log, 2);
        hosts.hosts().forEach(host -> host.runSteps(20));
        log.setDown(true);

        FakeHosts.Host alone = new FakeHosts(log, 1).host(0);
        alone.runSteps(20);
        FakeHosts.Host replaced = hosts.restart(0);
        replaced.runSteps(20);

        assertThat(alone.replica().isReady()).isFalse();
        assertThat(replaced.replica().isReady()).isTrue();
        assertThat(replaced.replica().offset()).isEqualTo(3);
        assertThat(replaced.servedOffsets()).containsExactly(3L);
    }

    /** Guards against a host that serves an older offset than a peer has acknowledged. */
    @Test
    void a_copy_below_the_offset_of_a_peer_is_not_ready() {
        ConfigReplica replica = new ConfigReplica(Schemas.SUPPORTED, _view -> {});
        replica.raiseMinReadyOffset(2);
        replica.markSourceComplete();
        replica.markPeersQueried();
        assertThat(replica.apply(0, List.of(teamChange("a", "", 1)))).isTrue();
        assertThat(replica.isReady()).isFalse();

        assertThat(replica.apply(1, List.of("x"))).isTrue();
        assertThat(replica.isReady()).isTrue();
        assertThat(replica.apply(3, List.of("y"))).isFalse();
    }

    /** Guards against one failure while a change is put into force ending the reading of all later changes. */
    @Test
    void a_listener_that_fails_does_not_stop_the_reader() {
        FakeHosts hosts = new FakeHosts(log, 1);
        FakeHosts.Host host = hosts.host(0);
        host.runSteps(20);
        host.failNextUpdate();
        appendChanges(1);
        host.runSteps(20);
        appendChanges(1);
        host.runSteps(20);

        assertThat(host.replica().offset()).isEqualTo(2);
        assertThat(host.servedOffsets()).contains(2L);
    }

    /** Guards against a retry of a change whose answer was lost being refused or applied twice. */
    @Test
    void a_lost_answer_is_settled_by_the_change_id() {
        FakeHosts hosts = new FakeHosts(log, 1);
        hosts.host(0).runSteps(20);
        log.setLosesAnswers(true);

        CompletableFuture<ApplyResult> first = publisher(hosts).publish(teamChange("a", "", 1));
        hosts.host(0).runSteps(20);
        ApplyResult again = publisher(hosts).publish(teamChange("a", "", 1)).join();

        assertThat(first.join().result()).isEqualTo(ApplyResult.Result.IN_FORCE);
        assertThat(again).isEqualTo(first.join());
        assertThat(log.records(ConfigReader.CONFIG_STREAM)).hasSize(1);
    }

    /** Guards against a success that was never seen, with the platform down before and during an append. */
    @Test
    void a_change_that_cannot_be_seen_in_the_log_is_not_reported_as_done() {
        FakeHosts hosts = new FakeHosts(log, 1);
        hosts.host(0).runSteps(20);
        log.setLosesAnswers(true);
        CompletableFuture<ApplyResult> unsettled = publisher(hosts).publish(teamChange("a", "", 1));
        log.setDown(true);

        assertThat(publisher(hosts).publish(teamChange("b", "", 1)).join().result())
                .isEqualTo(ApplyResult.Result.NOT_APPENDED);
        assertThat(unsettled.join().result()).isEqualTo(ApplyResult.Result.UNSETTLED);
    }

    /** Guards against lost updates, and losers without the winner's name, when operators work at once. */
    @Test
    void of_twenty_operators_on_one_revision_exactly_one_wins() {
        append(ConfigReader.CONFIG_STREAM, teamChange("base", "", 1));
        FakeHosts hosts = new FakeHosts(log, 1);
        hosts.host(0).runSteps(20);

        List<CompletableFuture<ApplyResult>> results = IntStream.range(0, 20)
                .mapToObj(i -> publisher(hosts).publish(teamChange("c" + i, ",\"base\":0", i + 2)))
                .toList();
        hosts.host(0).runSteps(30);

        List<ApplyResult> done = results.stream().map(CompletableFuture::join).toList();
        assertThat(done.stream().filter(result -> result.result() == ApplyResult.Result.IN_FORCE))
                .containsExactly(done.get(0));
        assertThat(done.subList(1, 20).stream().map(ApplyResult::winner).distinct())
                .containsExactly("c0");
        assertThat(hosts.host(0).replica().state().find(CLERKS).orElseThrow().changeId())
                .isEqualTo("c0");
    }

    private ConfigPublisher publisher(FakeHosts hosts) {
        ConfigPeers nobody = new ConfigPeers() {
            @Override
            public Optional<ImmutableList<Peer>> peers() {
                return Optional.empty();
            }

            @Override
            public CompletableFuture<ConfigPage> fetchPage(Peer _peer, long _from, String _change, Duration _timeout) {
                return CompletableFuture.failedFuture(new IllegalStateException("nobody"));
            }
        };
        return new ConfigPublisher("0", log, hosts.host(0).replica(), nobody, Schemas.SUPPORTED, Clock.systemUTC());
    }

    private void appendChanges(int count) {
        for (int i = 0; i < count; i++) {
            int next = log.records(ConfigReader.CONFIG_STREAM).size();
            append(
                    ConfigReader.CONFIG_STREAM,
                    teamChange("f" + next, next == 0 ? "" : ",\"base\":" + (next - 1), next + 1));
        }
    }

    private void append(String stream, String record) {
        Object _appended = log.append(stream, ImmutableList.of(record));
    }

    private static String teamChange(String change, String base, int quota) {
        return "{\"schema\":1,\"change\":\"%s\",\"kind\":\"team\",\"name\":\"clerks\"%s,\"body\":{\"quota\":%d,\"weight\":1}}"
                .formatted(change, base, quota);
    }
}
