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

service Peer {
  /** Submits a job to the owner of its session. The submission is session/sequence; the job is the caller's JSON. */
  PeerAnswer submit(1: string submission, 2: string job)
  /** Waits for the verdict of an earlier submission. */
  PeerAnswer lookUp(1: string submission)
  /** Cancels a submission. */
  PeerAnswer cancel(1: string submission)
}
