package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.http.Json;

/** Tests the format of the records that hosts write to the store. */
final class StoredRecordsTest {
    private static final StoredHost HOST = new StoredHost("east-1", "east", Long.MAX_VALUE, "127.0.0.1:1", 750);
    private static final StoredClaim CLAIM = new StoredClaim("yard", "east", 1, 3, "east-1", 1L << 50, 7);

    /** Guards against hosts of different versions that cannot read each other's records. */
    @Test
    void records_are_written_as_the_mapper_writes_them_and_read_back() {
        assertThat(HOST.toJson()).isEqualTo(Json.write(HOST));
        assertThat(CLAIM.toJson()).isEqualTo(Json.write(CLAIM));
        assertThat(StoredHost.parse(HOST.toJson())).isEqualTo(Optional.of(HOST));
        assertThat(StoredClaim.parse(CLAIM.toJson())).isEqualTo(Optional.of(CLAIM));
    }

    /** Guards against losing the pool of a claim that was written before pools had shards. */
    @Test
    void a_claim_without_shards_is_read() {
        StoredClaim claim = StoredClaim.parse(
                        "{\"service\":\"yard\",\"domain\":\"east\",\"host\":\"east-1\",\"incarnation\":11,\"round\":2}")
                .orElseThrow();

        assertThat(claim.key()).isEqualTo("yard/east");
        assertThat(claim.shards()).isEqualTo(0);
    }

    /** Guards against a malformed record that stops the follower of the topic or is mistaken for a claim. */
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
    void a_malformed_claim_is_rejected(String text) {
        assertThat(StoredClaim.parse(text)).isEqualTo(Optional.empty());
    }

    /** Guards against a timer that fails each time it connects to a host whose address can't be parsed. */
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "example", ""})
    void a_host_with_an_invalid_address_is_rejected(String address) {
        StoredHost host = new StoredHost("east-1", "east", 1, address, 750);

        assertThat(StoredHost.parse(host.toJson())).isEqualTo(Optional.empty());
    }

    /** Guards against a host without an address that every other host tries to connect to. */
    @Test
    void a_host_without_an_address_is_rejected() {
        assertThat(StoredHost.parse("{\"id\":\"east-1\",\"domain\":\"east\",\"incarnation\":1}"))
                .isEqualTo(Optional.empty());
    }
}
