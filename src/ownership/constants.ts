/** Lease timing. All times are measured on the lease clock, which includes suspensions. */

/**
 * Lease of a node, in ms: how long it counts as alive after it last renewed its row. A store slowed
 * 60 times takes 0.3 s for a renewal, so two renewals may fail. Until a lost owner is replaced, no
 * task of its service starts and no VM moves.
 */
export const NODE_LEASE_MS = 1200
/**
 * Longest lease of an owner whose renewals are slow, in ms: three times the usual lease. A takeover
 * by an equally slow node costs its service more than that. When such an owner is lost, its service
 * waits this long.
 */
export const LATE_LEASE_MAX_MS = 3600
/**
 * Lease of an owner whose renewals are slow, in multiples of its recent renewal interval, so that
 * one renewal may fail. With a fixed lease of 1.2 s, the lease of an owner with 0.12 of a core
 * expires 3 to 14 times in 80 s, and an equally slow node starts its unfinished work again.
 */
export const LATE_LEASE_INTERVALS = 2.5
/** Recent renewals that determine the lease; the longest interval is ignored as a single pause. */
export const LATE_LEASE_SAMPLES = 8
/** Interval between two renewals, and between two reads of the other nodes' rows, in ms. */
export const RENEW_MS = 300
/**
 * Shortest interval between two renewals of a node that owns nothing, and between two reads by a
 * node that is not a standby either, in ms. No service waits for such a node, and a failed call to an
 * owner makes it read at once. At the rate of owners, 44 nodes of which five own something make
 * 68,107 calls in 82 s.
 */
export const IDLE_RENEW_MS = 1000
/**
 * Longest interval between two such reads, in ms: a node may call an owner that was replaced but
 * still answers for this long.
 */
export const IDLE_POLL_MAX_MS = 2500
/**
 * Renewals per second of all nodes that own nothing together, because every node reads each of
 * them. With one renewal per second and node, a node reads 24 kB/s among 100 others and 71 kB/s
 * among 300.
 */
export const IDLE_RENEWALS_PER_S = 25
/** Lease of a node that owns nothing, in multiples of its renewal interval; two may fail. */
export const IDLE_LEASE_INTERVALS = 3.5
/** Delay before a node that owns nothing retries a failed store call, in ms; jittered. */
export const IDLE_RETRY_MS = 400
/**
 * Number of standby nodes: the first candidates for the next service, which read the other nodes'
 * rows as often as owners do. More than the owners of a data hall, so that some remain when that
 * hall is cut off.
 */
export const STANDBY_NODES = 8
/** Margin after a lease before another node takes over, for timers that fire late, in ms. */
export const TAKEOVER_MARGIN_MS = 200
/**
 * Grace period for which an owner continues without the store after its lease has ended, in ms. A
 * successor waits this long for targets that it cannot reach, so work survives a store outage of
 * about the lease plus the grace period.
 */
export const GRACE_MS = 6000
/**
 * Time for which an epoch row with invalid contents is left for an operator to repair, in ms. After
 * that it is replaced: the lease and the grace period of the last owner are over by then.
 */
export const UNREADABLE_EPOCH_WAIT_MS = LATE_LEASE_MAX_MS + GRACE_MS + TAKEOVER_MARGIN_MS
/** Interval between two checks for services without an owner, in ms. */
export const CLAIM_CHECK_INTERVAL_MS = 150
/**
 * Ratio of the capacity that a service would have on another node to that on its own, from which an owner
 * that lacks processor time hands it over: a handover interrupts starts for about a second.
 */
export const HAND_OVER_FACTOR = 2.5
/** Shortest interval between two handovers by one node, in ms: they must not follow each wave of load. */
export const HAND_OVER_INTERVAL_MS = 5000
/** Additional delay of each further candidate for a service, in ms: two claim checks. */
export const CANDIDATE_DELAY_MS = 300
/**
 * Time after the end of a node's lease until its row is removed, in ms. A node that starts treats
 * every row as live for the length of its lease, so rows of dead nodes must not stay for long.
 */
export const DEAD_NODE_RETENTION_MS = 6000
/**
 * Additional time for which a row must stay unchanged after a gap in this node's own reads before
 * its node counts as dead, in ms: nodes that survived an outage renew within a few attempts.
 */
export const READ_GAP_GRACE_MS = 800
/** Number of read intervals without a read that count as a gap. */
export const READ_GAP_INTERVALS = 3
/** Shortest interval between two reads that are requested outside the schedule, in ms. */
export const MIN_REFRESH_INTERVAL_MS = 200
/**
 * Longest time for which a planned stop tries to release a service, in ms: the platform kills a
 * process 6 s after asking it to stop.
 */
export const RELEASE_TIMEOUT_MS = 4500
/** Delay before a failed store call is retried, in ms; jittered. */
export const STORE_RETRY_MS = 150
/**
 * Time for which a node reads the other nodes' rows before it claims anything, in ms, so that nodes
 * that start together see one another and share the services. They start within 0.3 s of each
 * other. After a loss of all nodes, nothing runs for this long.
 */
export const SETTLE_MS = 350
/** Interval between the first reads of the other rows, in ms; several fit in the time above. */
export const STARTUP_POLL_MS = 100
