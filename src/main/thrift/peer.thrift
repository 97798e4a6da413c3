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

/** State of an entry host; of two records with the same incarnation and version, the later state takes precedence. */
enum MemberRecordState {
  ALIVE = 1,
  LEAVING = 2,
  SUSPECT = 3,
  GONE = 4
}

/** What is known of one incarnation of an entry host. */
struct MemberRecord {
  1: string id
  2: string domain
  3: string region
  /** ip:port for entry hosts. */
  4: string peer
  /** ip:port for callers. */
  5: string caller
  6: i64 incarnation
  /** Raised by the host itself only. */
  7: i64 version
  8: MemberRecordState state
  /** The entry host that its answers were handed over to. */
  9: optional string successor
}

/** One direction of an exchange. */
struct ExchangeFrame {
  1: MemberRecord sender
  2: list<MemberRecord> deltas
  /** Sum of the fingerprints of the records of hosts that are not gone. */
  3: i64 digest
  /** Whether the sender asks for every record. */
  4: bool join
  /** Values of other modules by key; unknown keys are ignored. */
  5: map<string, binary> attachments
}

/** What a call to an entry host showed. */
enum CheckOutcome {
  REACHED = 1,
  REFUSED = 2,
  SILENT = 3,
  UNKNOWN = 4
}

service Exchange {
  /** Tells what the caller knows and returns what the called host knows. */
  ExchangeFrame exchange(1: ExchangeFrame frame)
  /** Asks whether an incarnation answers the called host at a peer address. */
  CheckOutcome check(1: string host, 2: i64 incarnation, 3: string peer)
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

service Peer extends Exchange {
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
