package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;

/**
 * One incarnation of an entry host as told between entry hosts.
 *
 * <p>Only the member itself raises its version, when it starts to leave or retracts a suspicion. Others may only move a
 * version on to {@link MemberState#SUSPECT} or {@link MemberState#GONE}. Incarnation, version and state in this order
 * are a total order, so hosts that have seen the same records agree whatever the order of arrival.
 *
 * @param id id of the entry host
 * @param domain its failure domain
 * @param region its region
 * @param peer {@code ip:port} for entry hosts
 * @param caller {@code ip:port} for callers
 * @param incarnation incarnation of the process, positive
 * @param version version of the record, from 1
 * @param state its state
 * @param successor the entry host that its answers were handed over to
 */
public record Member(
        String id,
        String domain,
        String region,
        String peer,
        String caller,
        long incarnation,
        long version,
        MemberState state,
        Optional<String> successor) {
    private static final Comparator<Member> PRECEDENCE = Comparator.comparingLong(Member::incarnation)
            .thenComparingLong(Member::version)
            .thenComparing(Member::state);

    public Member {
        checkArgument(!checkNotNull(id, "id").isEmpty(), "id must not be empty");
        checkNotNull(domain, "domain");
        checkNotNull(region, "region");
        checkNotNull(peer, "peer");
        checkNotNull(caller, "caller");
        checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
        checkArgument(version > 0, "version must be positive: %s", version);
        checkNotNull(state, "state");
        checkNotNull(successor, "successor");
    }

    /** Returns a member that has just started. */
    public static Member newlyStarted(
            String id, String domain, String region, String peer, String caller, long incarnation) {
        return new Member(id, domain, region, peer, caller, incarnation, 1, MemberState.ALIVE, Optional.empty());
    }

    /** Returns whether this record replaces the other one of the same host. */
    boolean supersedes(Member other) {
        return PRECEDENCE.compare(this, other) > 0;
    }

    /** Returns whether both records name the same process. */
    boolean isSameProcess(Member other) {
        return id.equals(other.id) && incarnation == other.incarnation;
    }

    /** Returns whether the process itself says that it runs and nobody doubts it. */
    boolean isRunning() {
        return state == MemberState.ALIVE || state == MemberState.LEAVING;
    }

    /** Returns this record as judged by another host, under the same version. */
    Member withState(MemberState newState) {
        return new Member(id, domain, region, peer, caller, incarnation, version, newState, successor);
    }

    /** Returns the next record of the member itself, above a version that others have seen. */
    Member withHigherVersion(long minimumVersion, MemberState newState, Optional<String> newSuccessor) {
        long newVersion = Math.max(version, minimumVersion) + 1;
        return new Member(id, domain, region, peer, caller, incarnation, newVersion, newState, newSuccessor);
    }

    /** Returns a fingerprint of everything that precedence depends on. */
    long fingerprint() {
        return Hashing.farmHashFingerprint64()
                .newHasher()
                .putString(id, StandardCharsets.UTF_8)
                .putLong(incarnation)
                .putLong(version)
                .putString(state.name(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
