package org.mustardlink.config.records;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ConfigStateTest {
    private static final EntityKey CLERKS = EntityKey.of(Kind.TEAM, "clerks");

    /** Guards against operators overwriting each other's changes, and against a conflict that does not name the winner. */
    @Test
    void the_first_of_two_changes_with_the_same_base_is_accepted_and_named_as_the_winner() {
        ConfigState state = ConfigState.empty()
                .apply(List.of(
                        teamChange("a", "", 5), teamChange("b", ",\"base\":0", 6), teamChange("c", ",\"base\":0", 7)));

        assertThat(state.find(CLERKS).orElseThrow().changeId()).isEqualTo("b");
        assertThat(state.outcome("c").orElseThrow().code()).hasValue(RejectionCode.CONFLICT);
        assertThat(state.outcome("c").orElseThrow().winningChangeId()).hasValue("b");
    }

    /** Guards against a retry, sent because the first response was lost, overwriting a later change. */
    @Test
    void a_record_with_a_known_change_id_is_ignored() {
        ConfigState state = ConfigState.empty()
                .apply(List.of(
                        teamChange("a", "", 5), teamChange("b", ",\"base\":0", 6), teamChange("a", ",\"base\":1", 5)));

        assertThat(state.find(CLERKS).orElseThrow().revision()).isEqualTo(1);
        assertThat(state.outcome("a").orElseThrow().offset()).isEqualTo(0);
        assertThat(state.offset()).isEqualTo(3);
    }

    /** Guards against a change of several entities being applied in part. */
    @Test
    void a_change_of_several_entities_is_applied_atomically() {
        String both = """
                {"schema":2,"change":"both","entities":[
                 {"kind":"team","name":"new","body":{"quota":1,"weight":1}},
                 {"kind":"team","name":"clerks","base":%s,"body":{"quota":9,"weight":1}}]}""";
        ConfigState before = ConfigState.empty().apply(List.of(teamChange("a", "", 5)));

        assertThat(before.apply(List.of(both.formatted(7))).entities().keySet()).containsExactly(CLERKS);
        assertThat(before.apply(List.of(both.formatted(0))).entities()).hasSize(2);
    }

    /** Guards against a malformed record preventing all later changes. */
    @Test
    void malformed_records_do_not_prevent_later_records() {
        List<String> records = ImmutableList.of(
                "",
                "null",
                "[1]",
                "{\"schema\":1",
                "{\"schema\":1,\"change\":\"x\"}",
                "{\"schema\":1,\"change\":\"deep\",\"kind\":\"k\",\"name\":\"n\",\"body\":" + "{\"a\":".repeat(60) + "1"
                        + "}".repeat(61),
                "x".repeat(Change.MAX_CHARACTERS + 1),
                teamChange("bad", "", -1),
                teamChange("good", "", 5));

        ConfigState state = ConfigState.empty().apply(records);

        assertThat(state.offset()).isEqualTo(records.size());
        assertThat(state.outcome("x").orElseThrow().code()).hasValue(RejectionCode.MALFORMED);
        assertThat(state.outcome("deep").orElseThrow().code()).hasValue(RejectionCode.MALFORMED);
        assertThat(state.outcome("bad").orElseThrow().code()).hasValue(RejectionCode.INVALID_BODY);
        assertThat(state.find(CLERKS).orElseThrow().changeId()).isEqualTo("good");
    }

    /** Guards against hosts of two versions assigning different revisions to an entity during a rolling upgrade. */
    @Test
    void a_newer_record_keeps_unknown_fields_and_is_in_force_only_where_it_is_supported() {
        Schemas old = new Schemas(2, ImmutableSet.of());
        Schemas next = new Schemas(3, ImmutableSet.of("burst"));
        ConfigState state = ConfigState.empty()
                .apply(List.of(
                        teamChange("a", "", 5),
                        "{\"schema\":3,\"change\":\"b\",\"kind\":\"team\",\"name\":\"clerks\",\"base\":0,"
                                + "\"body\":{\"quota\":6,\"weight\":1.50,\"hint\":1e400}}",
                        "{\"schema\":3,\"change\":\"c\",\"requires\":[\"burst\"],\"kind\":\"team\",\"name\":\"clerks\","
                                + "\"base\":1,\"body\":{\"quota\":7,\"weight\":1,\"burst\":3}}",
                        "{\"schema\":3,\"change\":\"d\",\"kind\":\"lane\",\"name\":\"x\",\"body\":{}}"));

        assertThat(state.outcome("c").orElseThrow().isAccepted()).isTrue();
        assertThat(state.find(CLERKS)
                        .orElseThrow()
                        .newest()
                        .body()
                        .path("burst")
                        .asInt())
                .isEqualTo(3);
        assertThat(ConfigView.of(state, old).teams().get("clerks").quota()).isEqualTo(6);
        assertThat(ConfigView.of(state, old).unsupported().keySet())
                .containsExactly(CLERKS, new EntityKey("lane", "x"));
        assertThat(ConfigView.of(state, next).teams().get("clerks").quota()).isEqualTo(7);
        assertThat(Snapshots.write(state)).contains("1E+400");
    }

    /** Guards against a host that started from a snapshot having a different state than a host that read the whole log. */
    @Test
    void a_snapshot_and_the_records_after_it_give_the_same_state_as_the_whole_log() {
        ImmutableList<String> records = IntStream.range(0, 300)
                .mapToObj(i -> i % 7 == 0 ? "{\"broken\"" : numberedChange(i))
                .collect(ImmutableList.toImmutableList());
        ConfigState whole = ConfigState.empty().apply(records);
        ConfigState half = Snapshots.read(Snapshots.write(ConfigState.empty().apply(records.subList(0, 150))));

        assertThat(half.apply(records.subList(150, 300))).isEqualTo(whole);
        assertThat(Snapshots.write(half.apply(records.subList(150, 300)))).isEqualTo(Snapshots.write(whole));
    }

    /** Guards against memory use that grows with the total number of changes. */
    @Test
    void outcomes_and_bodies_are_bounded() {
        ImmutableList<String> many = IntStream.range(0, ConfigState.MAX_OUTCOMES + 50)
                .mapToObj(i -> "{\"schema\":1,\"change\":\"c" + i + "\",\"kind\":\"k\",\"name\":\"n" + i
                        + "\",\"body\":{\"fill\":\"" + "y".repeat(1500) + "\"}}")
                .collect(ImmutableList.toImmutableList());

        ConfigState state = ConfigState.empty().apply(many);

        assertThat(state.outcomes()).hasSize(ConfigState.MAX_OUTCOMES);
        assertThat(state.outcome("c2090").orElseThrow().code()).hasValue(RejectionCode.LIMIT);
        assertThat(Snapshots.write(state).length()).isLessThan(4 << 20);
    }

    private static String teamChange(String change, String base, int quota) {
        return "{\"schema\":1,\"change\":\"%s\",\"kind\":\"team\",\"name\":\"clerks\"%s,\"body\":{\"quota\":%d,\"weight\":1}}"
                .formatted(change, base, quota);
    }

    private static String numberedChange(int i) {
        String base = i % 10 < 3 ? "" : ",\"base\":" + (i - 10);
        String body = i % 13 == 0 ? "null" : "{\"quota\":" + (i + 1) + ",\"weight\":0.10,\"note\":\"\\ud800\"}";
        return "{\"schema\":1,\"change\":\"c%d\",\"kind\":\"team\",\"name\":\"t%d\"%s,\"body\":%s}"
                .formatted(i, i % 10, base, body);
    }
}
