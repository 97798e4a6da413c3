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

    /** Guards against a host that stops, or skips records, if the records that it lacks have expired. */
    @Test
    void expired_records_are_replaced_by_the_newest_valid_snapshot() {
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

    /** Guards against a running host skipping records that expired while it was cut off from the log and from its peers. */
    @Test
    void records_that_expired_after_boot_are_recovered_from_a_snapshot_and_never_skipped() {
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

    /** Guards against a host that serves without a configuration, and against a boot that depends on the platform. */
    @Test
    void while_the_platform_is_down_a_host_becomes_ready_only_with_configuration_from_a_peer() {
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

    /** Guards against a host that serves an older configuration than a peer has reported. */
    @Test
    void a_replica_with_a_lower_offset_than_a_peer_is_not_ready() {
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

    /** Guards against a listener that fails on one change stopping the reader before all later changes. */
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

    /** Guards against a retry, sent because the response was lost, being rejected or applied twice. */
    @Test
    void after_a_lost_response_a_retry_with_the_same_change_id_returns_the_first_result() {
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

    /** Guards against reporting success for a change that was not read back, with the platform down before or during the append. */
    @Test
    void a_change_that_was_not_read_back_from_the_log_is_not_reported_as_in_force() {
        FakeHosts hosts = new FakeHosts(log, 1);
        hosts.host(0).runSteps(20);
        log.setLosesAnswers(true);
        CompletableFuture<ApplyResult> unsettled = publisher(hosts).publish(teamChange("a", "", 1));
        log.setDown(true);

        assertThat(publisher(hosts).publish(teamChange("b", "", 1)).join().result())
                .isEqualTo(ApplyResult.Result.NOT_APPENDED);
        assertThat(unsettled.join().result()).isEqualTo(ApplyResult.Result.UNSETTLED);
    }

    /** Guards against lost updates, and conflicts that do not name the winner, if operators make concurrent changes. */
    @Test
    void of_twenty_changes_with_the_same_base_exactly_one_is_accepted() {
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
