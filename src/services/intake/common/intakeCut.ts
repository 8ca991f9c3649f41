/** Why a caller was refused or cut for the sake of the process or of other callers. */
export enum IntakeCut {
  /** The connection was idle or incomplete for longest when a new one arrived at the bound. */
  ConnectionBound = 'connection-bound',
  /** A new connection was closed because all others were being served. */
  ConnectionsBusy = 'connections-busy',
  /** The connection sent no request within the idle timeout. */
  Silent = 'silent',
  /** The head of a request wasn't complete within the header timeout. */
  SlowHead = 'slow-head',
  /** The connection sent more requests ahead than may wait. */
  Pipelined = 'pipelined',
  /** Too many connections weren't read already. */
  HeldBound = 'held-bound',
  /** A request was refused because too many answers are unread. */
  Answers = 'answers',
  /** A request was refused because the heap is almost full. */
  Heap = 'heap',
  /** A body made no progress for the stall timeout. */
  BodyStalled = 'body-stalled',
  /** A body made no progress and others needed its memory. */
  BodyYielded = 'body-yielded',
  /** A body found no room in the account in time. */
  BodyNoRoom = 'body-no-room',
  /** A body wasn't complete by the deadline of its request. */
  BodyLate = 'body-late',
  /** A body wasn't complete when the process stopped. */
  Draining = 'draining',
  /** The reader of an answer made no progress for the stall timeout. */
  ReaderStalled = 'reader-stalled',
  /** The reader of an answer made no progress and others needed the memory. */
  ReaderYielded = 'reader-yielded',
  /** A refused caller went on sending its body. */
  DiscardBound = 'discard-bound',
}
