/** Time-outs, intervals and limits of forwarded orders. Times are in ms of the monotonic clock. */

/** Time for which answers are collected before they are sent back. */
export const BATCH_MS = 8
/** Shortest interval between two messages to one forwarder, and that of an owner at its limit. */
export const MIN_MESSAGE_INTERVAL_MS = 15
export const MAX_MESSAGE_INTERVAL_MS = 60
/** Use of its processor from which an owner sends its messages less often, as a share. */
export const PACE_FROM_SHARE = 0.6
/** Longest time for which a forwarder holds a message without answers. */
export const HOLD_MS = 200
/**
 * Time without an answer to a message after which its forwarder is lost. With the time that the
 * forwarder may hold a message, within the 1.2 s in which an owner is replaced.
 */
export const MESSAGE_TIMEOUT_MS = HOLD_MS + 400
/** Time for which a lost forwarder is not used. */
export const LOST_PAUSE_MS = 5000
/**
 * Time for which a target is called through another forwarder after a call to it went unanswered, and
 * directly after a second one, in ms.
 */
export const AVOID_AFTER_FAILURE_MS = 2000
/** Messages under way to one forwarder: one that is held there, and one that brings new calls. */
export const MAX_MESSAGES_UNDER_WAY = 2
/** Longest wait of a call to be sent. The process may have been frozen, and its owner superseded. */
export const MAX_QUEUE_MS = 500
/** Starts that are sent to one target at a time: a message takes longer than a call to a target. */
export const STARTS_AT_ONCE = 8
/** Most calls in one message, and most text in it, in characters: half of the largest message. */
export const MAX_CALLS_PER_MESSAGE = 200
export const MAX_TEXT_PER_MESSAGE = 512 * 1024
/** Time without a message after which a forwarder forgets an owner, or a target's connections. */
export const IDLE_MS = 3000
/** Interval between checks for owners and targets to forget. */
export const IDLE_CHECK_MS = 1000
/** Use of its processor from which an owner asks for forwarders, as a share. */
export const ASK_FROM_SHARE = 0.5
/**
 * The same for an owner that has requested many more targets, as a multiple: its load will have doubled
 * by the time that they are there. Nodes are asked how busy they are from then on.
 */
export const EARLY_FACTOR = 0.5
/** Use of its processor below which an owner no longer needs them, as a share. */
export const RELEASE_BELOW_SHARE = 0.2
/** Time for which the use must stay below that share. */
export const RELEASE_AFTER_MS = 5000
/** Use of its processor up to which forwarders are loaded, as a share; beyond it there are more of them. */
export const FORWARDER_LOAD = 0.5
/** Use of its processor from which a node becomes no forwarder, as a share. */
export const MAX_FORWARDER_SHARE = 0.75
/**
 * Mean time by which orders through one forwarder may take longer than through the others, in ms,
 * and as a multiple of theirs.
 */
export const MAX_EXCESS_MS = 250
export const MAX_EXCESS_FACTOR = 2
/** Weight of the newest order in that mean. */
export const NEWEST_ORDER_WEIGHT = 0.1
/** Number of orders from which the mean is known. */
export const MIN_ORDERS = 10
/** Time for which what a node has told of itself counts. */
export const HEARD_MS = 2000
/** Interval between empty messages to nodes that may be needed, which show that they still answer. */
export const PROBE_INTERVAL_MS = 400
/**
 * Targets per forwarder: each takes about 15 calls a second in a turn. With fewer, more messages are
 * needed for the same calls.
 */
export const TARGETS_PER_FORWARDER = 48
/** Nodes that are asked how busy they are, for each forwarder that is wanted. */
export const PROBES_PER_FORWARDER = 2
/** Interval between two choices of the forwarders. */
export const CHOICE_INTERVAL_MS = 250
