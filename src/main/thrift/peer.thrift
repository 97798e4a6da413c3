// Protocol between entry hosts. Frames are bounded by the peer settings on both sides.
// Regenerate with: thrift --gen java:generated_annotations=suppress -out src/main/java src/main/thrift/peer.thrift
namespace java org.mustardlink.peer.thrift

/** What the owner of a session answered. */
enum AnswerKind {
  /** The verdict fields hold the final answer. */
  VERDICT = 1,
  /** The sequence number was never used. */
  UNUSED = 2,
  /** The called process is another incarnation than the session names; that one is gone. */
  OTHER_INCARNATION = 3
}

struct PeerAnswer {
  1: AnswerKind kind
  /** Reason code of the verdict. */
  2: optional string reason
  /** Time to come back, in milliseconds. */
  3: optional i64 retryAfterMs
  /** One result per task in task order, when complete. */
  4: optional list<string> results
}

/** Where a change stands at a host. */
enum ConfigStanding {
  /** The host has not seen the change, or no longer remembers it. */
  UNKNOWN = 1,
  /** The change is in force. */
  IN_FORCE = 2,
  /** The change was rejected. */
  REJECTED = 3,
  /** The change was accepted, and the host's version cannot act on all of it. */
  UNSUPPORTED = 4
}

/** Configuration of a host from an offset on: records, or a snapshot when the records are no longer kept. */
struct ConfigPage {
  /** Whether the host serves; a host that does not has no configuration to pass on. */
  1: bool ready
  /** Offset of the host's configuration. */
  2: i64 offset
  /** Records from the asked offset on, in order. */
  3: optional list<string> records
  4: optional string snapshot
  5: optional ConfigStanding standing
}

/** What a host still has at a target. */
struct DrainReport {
  /** Whether the host gives the target no new work. */
  1: bool draining
  /** Tasks of this host in flight at the target. */
  2: i32 outstanding
  /** Time until the last of them is expected to end, in milliseconds. */
  3: i64 remainingMs
  4: string reason
}

service Peer {
  /** Submits a job to the owner of its session. The submission is session/sequence; the job is the caller's JSON. */
  PeerAnswer submit(1: string submission, 2: string job)
  /** Waits for the verdict of an earlier submission. */
  PeerAnswer lookUp(1: string submission)
  /** Cancels a submission. */
  PeerAnswer cancel(1: string submission)
  /** Returns the configuration from an offset on, and where a change stands if its id is not empty. */
  ConfigPage configSince(1: i64 offset, 2: string change)
  /** Returns what the host still has at a target. */
  DrainReport drainReport(1: string target)
}
