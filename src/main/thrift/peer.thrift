// Protocol between entry hosts. Frames are bounded by the peer settings on both sides.
// Regenerate with: thrift --gen java:generated_annotations=suppress -out src/main/java src/main/thrift/peer.thrift
namespace java org.mustardlink.peer.thrift

/** Kind of an answer to a forwarded request. */
enum AnswerKind {
  /** The verdict fields hold the final answer. */
  VERDICT = 1,
  /** The sequence number was never used. */
  UNUSED = 2,
  /** The called process is a later incarnation of the owner of the session, so the owner has ended. */
  OTHER_INCARNATION = 3,
  /** The called process is not responsible for the session and knows nothing about the state of its owner. */
  NOT_OWNER = 4
}

struct PeerAnswer {
  1: AnswerKind kind
  /** Reason code of the verdict. */
  2: optional string reason
  /** Time after which to retry, in milliseconds. */
  3: optional i64 retryAfterMs
  /** One result per task in the order of the tasks, if the job is complete. */
  4: optional list<string> results
}

/** Sequence numbers used in one closed session. */
struct SessionUse {
  1: string session
  /** Runs of nine words: the index of a chunk of 512 numbers, then its bitmap. */
  2: list<i64> used
}

/** A retained answer. */
struct KeptAnswer {
  1: string submission
  2: string reason
  3: optional i64 retryAfterMs
  4: optional list<string> results
  /** Fingerprint of the job; absent if the sequence number was sealed without a job. */
  5: optional i64 fingerprint
}

/**
 * A part of the handover of a stopping entry host. The successor is responsible for the sessions after the last part.
 */
struct HandoverPart {
  1: string host
  2: i64 incarnation
  /** Position of the part, from 0. */
  3: i32 part
  4: bool last
  5: list<SessionUse> sessions
  6: list<KeptAnswer> answers
}

/** State of an entry host; of two records with the same incarnation and version, the later state takes precedence. */
enum MemberRecordState {
  ALIVE = 1,
  LEAVING = 2,
  SUSPECT = 3,
  GONE = 4
}

/** Membership record of one incarnation of an entry host. */
struct MemberRecord {
  1: string id
  2: string domain
  3: string region
  /** ip:port for entry hosts. */
  4: string peer
  /** ip:port for callers. */
  5: string caller
  6: i64 incarnation
  /** Increased only by the host itself. */
  7: i64 version
  8: MemberRecordState state
  /** The entry host that its answers were handed over to. */
  9: optional string successor
}

/** One direction of an exchange. */
struct ExchangeFrame {
  1: MemberRecord sender
  2: list<MemberRecord> deltas
  /** Sum of the fingerprints of all records whose hosts are not gone. */
  3: i64 digest
  /** Whether the sender requests every record. */
  4: bool join
  /** Values of other modules by key; unknown keys are ignored. */
  5: map<string, binary> attachments
}

/** Outcome of a call to an entry host. */
enum CheckOutcome {
  REACHED = 1,
  REFUSED = 2,
  SILENT = 3,
  UNKNOWN = 4
}

service Exchange {
  /** Sends records of the calling host and returns records of the called host. */
  ExchangeFrame exchange(1: ExchangeFrame frame)
  /** Asks the called host whether it reaches an incarnation at a peer address. */
  CheckOutcome check(1: string host, 2: i64 incarnation, 3: string peer)
}

/** Status of a change at a host. */
enum ConfigStanding {
  /** The host has not seen the change, or no longer remembers it. */
  UNKNOWN = 1,
  /** The change is in force. */
  IN_FORCE = 2,
  /** The change was rejected. */
  REJECTED = 3,
  /** The change was accepted, but the version of the host does not support all of it. */
  UNSUPPORTED = 4
}

/** Configuration of a host from an offset on: records, or a snapshot when the records are no longer kept. */
struct ConfigPage {
  /** Whether the host is ready; a host that is not ready has no configuration to pass on. */
  1: bool ready
  /** Offset of the host's configuration. */
  2: i64 offset
  /** Records from the requested offset on, in order. */
  3: optional list<string> records
  4: optional string snapshot
  5: optional ConfigStanding standing
}

/** Tasks that a host has in flight at a target. */
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
  /**
   * Submits a job to the owner of its session. The submission is session/sequence; the job is the caller's JSON; the
   * deadline is what remains of the caller's deadline for the owner to answer, in milliseconds.
   */
  PeerAnswer submit(1: string submission, 2: string job, 3: i64 deadlineMs)
  /** Waits for the verdict of an earlier submission. */
  PeerAnswer lookUp(1: string submission)
  /** Cancels a submission. */
  PeerAnswer cancel(1: string submission)
  /** Hands closed sessions over; false means that the called entry host does not take them over. */
  bool handover(1: HandoverPart part)
  /** Announces that an incarnation has stopped and that the successor is responsible for its sessions. */
  void left(1: string host, 2: i64 incarnation, 3: string successor)
  /** Returns the configuration from an offset on, and the status of a change if its id is not empty. */
  ConfigPage configSince(1: i64 offset, 2: string change)
  /** Returns a report on the tasks that the called host has in flight at a target. */
  DrainReport drainReport(1: string target)
}
