package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.mustardlink.http.Json;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.PoolId;

/**
 * A claim as it is kept in the store.
 *
 * @param service service of the pool
 * @param domain failure domain of the pool
 * @param host the master
 * @param incarnation the master's incarnation
 * @param round round of the claim
 */
record StoredClaim(String service, String domain, String host, long incarnation, int round) {
    static StoredClaim of(Claim claim) {
        return new StoredClaim(
                claim.pool().service(), claim.pool().domain(), claim.host(), claim.incarnation(), claim.round());
    }

    String key() {
        return service + '/' + domain;
    }

    Claim toClaim() {
        return new Claim(new PoolId(service, domain), host, incarnation, round);
    }

    /** Reads a claim; empty if the text is none. */
    static Optional<StoredClaim> parse(String text) {
        try {
            return Optional.of(Json.read(text, StoredClaim.class))
                    .filter(claim -> claim.service() != null && claim.domain() != null && claim.host() != null);
        } catch (JsonProcessingException e) {
            // The caller logs records that it passes over.
            return Optional.empty();
        }
    }
}
