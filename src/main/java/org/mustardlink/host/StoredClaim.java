package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.http.Json;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.PoolId;

/**
 * A claim as it is stored.
 *
 * @param service service of the pool
 * @param domain failure domain of the pool
 * @param shard number of the pool's shard
 * @param shards number of shards of the failure domain, 0 in claims written before pools had shards
 * @param host id of the master
 * @param incarnation the master's incarnation
 * @param round round of the claim
 */
record StoredClaim(String service, String domain, int shard, int shards, String host, long incarnation, int round) {
    static StoredClaim of(Claim claim) {
        return new StoredClaim(
                claim.pool().service(),
                claim.pool().domain(),
                claim.pool().shard(),
                claim.pool().shards(),
                claim.host(),
                claim.incarnation(),
                claim.round());
    }

    String key() {
        return pool().toString();
    }

    private PoolId pool() {
        return new PoolId(service, domain, shard, Math.max(1, shards));
    }

    Claim toClaim() {
        return new Claim(pool(), host, incarnation, round);
    }

    /** Returns the claim as JSON, in the form that {@link #parse} reads. */
    String toJson() {
        return Json.writeObject(out -> {
            out.writeStringField("service", service);
            out.writeStringField("domain", domain);
            out.writeNumberField("shard", shard);
            out.writeNumberField("shards", shards);
            out.writeStringField("host", host);
            out.writeNumberField("incarnation", incarnation);
            out.writeNumberField("round", round);
        });
    }

    /** Parses a claim; returns empty if the text is not a valid claim. */
    static Optional<StoredClaim> parse(String text) {
        try {
            StoredFields fields = StoredFields.of(text);
            StoredClaim claim = new StoredClaim(
                    fields.requiredText("service"),
                    fields.requiredText("domain"),
                    fields.optionalInt("shard"),
                    fields.optionalInt("shards"),
                    fields.requiredText("host"),
                    fields.optionalLong("incarnation"),
                    fields.optionalInt("round"));
            boolean valid = fields.isValid() && claim.shard() >= 0 && claim.shard() < Math.max(1, claim.shards());
            return valid ? Optional.of(claim) : Optional.empty();
        } catch (JsonProcessingException e) {
            // The caller logs the rejected record.
            return Optional.empty();
        }
    }
}
