/** Times of leases. Every one of them is counted on the lease clock, which also counts suspensions. */

/**
 * Time for which a node counts as alive after it last renewed its row, in ms. A store that
 * is slowed 60 times takes 0.3 s for a renewal, so two of them may fail. While an owner is
 * missed, no task of its service starts and no VM moves.
 */
export const NODE_LEASE_MS = 1200
/**
 * Longest lease of an owner that runs late, in ms: three times the usual one. A takeover by a node
 * as weak costs its service more than that. When such an owner is lost, its service waits so long.
 */
export const LATE_LEASE_MAX_MS = 3600
/**
 * Lease of an owner that runs late, in times of what it lately took from one renewal to the next:
 * one of them may fail. With a fixed lease of 1.2 s an owner on 0.12 of a core lapsed 3 to 14
 * times in 80 s, and what it had begun was begun anew by another as weak.
 */
export const LATE_LEASE_INTERVALS = 2.5
/** Renewals by which the lease is judged; the longest of them is left out, as a single pause. */
export const LATE_LEASE_SAMPLES = 8
/** Time between two renewals, and between two looks at the other nodes, in ms. */
export const RENEW_MS = 300
/**
 * Shortest time between two renewals of a node that owns nothing, and between two looks at the
 * others of one that is not among the next to own something, in ms: nobody waits for it, and
 * a call to an owner that fails makes it look at once. With 44 nodes, of which five own
 * something, all nodes at the pace of owners made 68,107 calls in 82 s.
 */
export const IDLE_PACE_MS = 1000
/**
 * Longest time between two such looks, in ms: for so long a node may ask an owner that has
 * been replaced and still answers.
 */
export const IDLE_POLL_MAX_MS = 2500
/**
 * Renewals of all such nodes together, per second: each is read by every node. One a second
 * and node, a node read 24 kB/s among 100 others and 71 kB/s among 300.
 */
export const IDLE_RENEWALS_PER_S = 25
/** Lease of a node that owns nothing, in times of its pace: two renewals may fail. */
export const IDLE_LEASE_PACES = 3.5
/** Time between two tries of such a node after the store refused, in ms; jittered. */
export const IDLE_RETRY_MS = 400
/**
 * Nodes that look at the others as often as owners do: those that come first for the next
 * service. More than the owners of a data hall, so that some are left when it is cut off.
 */
export const STANDBY_NODES = 8
/** Added to the lease before another node takes over, for timers that fire late, in ms. */
export const TAKEOVER_MARGIN_MS = 200
/**
 * Time for which an owner goes on without the store after its lease, in ms. A successor
 * waits as long for targets that it cannot reach, so work survives a store outage of
 * about the lease and this together.
 */
export const GRACE_MS = 6000
/**
 * Time for which an epoch row that cannot be read is left alone, in ms: then the lease and the
 * grace of whoever wrote the last one are over, if it was not mended by hand before.
 */
export const UNREADABLE_EPOCH_WAIT_MS = LATE_LEASE_MAX_MS + GRACE_MS + TAKEOVER_MARGIN_MS
/** Time between two checks for services without an owner, in ms. */
export const CLAIM_CHECK_INTERVAL_MS = 150
/** Each further candidate for a service waits so much longer, in ms: two claim steps. */
export const CANDIDATE_DELAY_MS = 300
/**
 * Rows of nodes whose lease has been over for so long are removed, in ms. A node that starts
 * takes a row for alive until its lease is over, so a dead one must not stay for long.
 */
export const DEAD_NODE_RETENTION_MS = 6000
/**
 * After a gap in our own readings, a row must stand still for so long more before its
 * node counts as dead, in ms: nodes that lived through an outage renew within a few tries.
 */
export const READ_GAP_GRACE_MS = 800
/** Without a reading of the others' rows for so many times its pause there was a gap. */
export const READ_GAP_INTERVALS = 3
/** Shortest time between two readings that were asked for out of turn, in ms. */
export const MIN_REFRESH_INTERVAL_MS = 200
/**
 * Longest time for which a planned stop tries to give a service up, in ms: the platform
 * kills a process 6 s after it asked it to stop.
 */
export const RELEASE_TIMEOUT_MS = 4500
/** Time between two tries after the store refused, in ms; jittered. */
export const STORE_RETRY_MS = 150
/**
 * Time for which a node must have read the others' rows before it claims anything, in
 * ms: nodes that start together see one another first, and share the services. They start
 * within 0.3 s of each other. After a loss of all nodes nothing runs for so long.
 */
export const SETTLE_MS = 350
/** Time between the first looks at the others' rows, in ms; several fit in the time above. */
export const STARTUP_POLL_MS = 100
