package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;

/**
 * The record of one incarnation of an entry host, as exchanged between entry hosts.
 *
 * <p>Only the member itself raises its version, when it starts to leave or retracts a suspicion. Other hosts can only
 * change the state of a version to {@link MemberState#SUSPECT} or {@link MemberState#GONE}. Records of a host are
 * totally ordered by incarnation, version and state, in this order, so hosts that have received the same records agree
 * in whatever order the records arrived.
 *
 * @param id id of the entry host
 * @param domain failure domain of the host
 * @param region region of the host
 * @param peer address for other entry hosts, {@code ip:port}
 * @param caller address for callers, {@code ip:port}
 * @param incarnation incarnation of the process, positive
 * @param version version of the record, starting at 1
 * @param state state of the incarnation
 * @param successor id of the entry host that took over its answers, if any
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
        checkArgument(!checkNotNull(id, "id").isEmpty(), "host id must not be empty");
        checkNotNull(domain, "domain");
        checkNotNull(region, "region");
        checkNotNull(peer, "peer");
        checkNotNull(caller, "caller");
        checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
        checkArgument(version > 0, "version must be positive: %s", version);
        checkNotNull(state, "state");
        checkNotNull(successor, "successor");
    }

    /** Returns the first record of a process that has just started. */
    public static Member newlyStarted(
            String id, String domain, String region, String peer, String caller, long incarnation) {
        return new Member(id, domain, region, peer, caller, incarnation, 1, MemberState.ALIVE, Optional.empty());
    }

    /** Returns whether this record takes precedence over another record of the same host. */
    boolean supersedes(Member other) {
        return PRECEDENCE.compare(this, other) > 0;
    }

    /** Returns whether both records belong to the same process. */
    boolean isSameProcess(Member other) {
        return id.equals(other.id) && incarnation == other.incarnation;
    }

    /** Returns whether the process reports that it runs, and no host suspects it or holds it as gone. */
    boolean isRunning() {
        return state == MemberState.ALIVE || state == MemberState.LEAVING;
    }

    /** Returns this version with the state that another host determined. */
    Member withState(MemberState newState) {
        return new Member(id, domain, region, peer, caller, incarnation, version, newState, successor);
    }

    /** Returns a record of the member itself, with a version above both its own and one that other hosts have seen. */
    Member withHigherVersion(long seenVersion, MemberState newState, Optional<String> newSuccessor) {
        long newVersion = Math.max(version, seenVersion) + 1;
        return new Member(id, domain, region, peer, caller, incarnation, newVersion, newState, newSuccessor);
    }

    /** Returns a fingerprint of the id and all fields that determine precedence. */
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
