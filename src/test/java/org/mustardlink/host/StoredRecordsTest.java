package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.http.Json;

/** Tests what hosts keep in the store. */
final class StoredRecordsTest {
    private static final StoredHost HOST = new StoredHost("east-1", "east", Long.MAX_VALUE, "127.0.0.1:1", 750);
    private static final StoredClaim CLAIM = new StoredClaim("yard", "east", 1, 3, "east-1", 1L << 50, 7);

    /** Guards against hosts of two versions that don't understand each other's records. */
    @Test
    void records_are_written_as_the_mapper_writes_them_and_read_back() {
        assertThat(HOST.toJson()).isEqualTo(Json.write(HOST));
        assertThat(CLAIM.toJson()).isEqualTo(Json.write(CLAIM));
        assertThat(StoredHost.parse(HOST.toJson())).isEqualTo(Optional.of(HOST));
        assertThat(StoredClaim.parse(CLAIM.toJson())).isEqualTo(Optional.of(CLAIM));
    }

    /** Guards against a claim from before there were shards, which must still name its pool. */
    @Test
    void a_claim_without_shards_is_read() {
        StoredClaim claim = StoredClaim.parse(
                        "{\"service\":\"yard\",\"domain\":\"east\",\"host\":\"east-1\",\"incarnation\":11,\"round\":2}")
                .orElseThrow();

        assertThat(claim.key()).isEqualTo("yard/east");
        assertThat(claim.shards()).isEqualTo(0);
    }

    /** Guards against a record of another writer that ends the following of a topic or is taken for a claim. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{}",
                "{\"service\":1,\"domain\":\"east\",\"host\":\"east-1\",\"incarnation\":11,\"round\":2}",
                "{\"service\":\"yard\",\"domain\":\"east\",\"host\":\"east-1\",\"incarnation\":\"x\",\"round\":2}",
                "{\"service\":\"yard\",\"domain\":\"east\",\"host\":\"east-1\",\"incarnation\":11,\"round\":4294967296}",
                "{\"service\":\"yard\",\"domain\":\"east\",\"shard\":3,\"shards\":3,\"host\":\"east-1\",\"incarnation\":11,"
                        + "\"round\":2}",
                "{\"service\":\"yard\"",
            })
    void what_is_no_claim_is_passed_over(String text) {
        assertThat(StoredClaim.parse(text)).isEqualTo(Optional.empty());
    }

    /** Guards against a host without an address that every other host tries to reach. */
    @Test
    void what_is_no_host_is_passed_over() {
        assertThat(StoredHost.parse("{\"id\":\"east-1\",\"domain\":\"east\",\"incarnation\":1}"))
                .isEqualTo(Optional.empty());
    }
}
