// Messages between daemons, carried in 4-byte length frames in the compact protocol.
namespace py wire

/** What a host believes about the owner of one cell. */
struct CellView {
  1: string cell
  2: i64 epoch
  3: string host
  4: string address
}

/** Sent about once a second to a few peers, and at once when something changes. */
struct Heartbeat {
  1: string host
  2: i64 generation
  3: bool store_ok
  4: list<string> leaving
  5: list<CellView> cells
}

/** Asks for what changed in the configuration after a generation. */
struct ChangesRequest {
  1: i64 since
}

/** The change, in the form of heronthread_coordination.Delta; empty if there is none. */
struct Changes {
  2: binary delta
}

enum Operation {
  SUBMIT = 1
  OUTCOME = 2
  CANCEL = 3
  LIST = 4
  SETTLE = 6
  ACCEPT_JOB = 8
  CANCEL_JOB = 9
  JOB_STATE = 10
  QUEUE_COUNT = 11
  NOTE_JOB = 12
  NEWS = 13
  CONFIGURATION = 14
  CELL_OVERVIEW = 15
  JOB_STORY = 16
  EVACUATE = 17
  JOB_FIT = 18
  RELAY_WRITE = 19
  REVISION_AGES = 20
}

/** A caller's request on its way from an entry host to the owner of a cell. */
struct Forward {
  1: Operation operation
  2: string cell
  3: binary body
  4: i32 wait_ms
}

/** The owner's answer; status is an HTTP status. */
struct ForwardReply {
  1: i32 status
  2: binary body
}

/** One message; id pairs a reply with its request on the same connection. */
struct Frame {
  1: i64 id
  2: optional Heartbeat heartbeat
  3: optional ChangesRequest changes_request
  4: optional Changes changes
  5: optional Forward forward
  6: optional ForwardReply forward_reply
}
