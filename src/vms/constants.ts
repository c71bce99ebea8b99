/** Timing and weights of decisions about VMs. Times are in ms, on the monotonic clock. */

/** Interval between two rounds of decisions while no report arrives. */
export const ROUND_INTERVAL_MS = 100
/**
 * Shortest interval between two rounds: a sixth of the interval between two reports of a service, so
 * that reports of several services that arrive together are handled in one round.
 */
export const MIN_ROUND_INTERVAL_MS = 25
/** Interval between two reports of a service's owner. */
export const REPORT_INTERVAL_MS = 150
/** Reports older than ten report intervals are ignored: several later ones were lost by then. */
export const REPORT_STALE_MS = 1500
/** Interval between two reads of the list of VMs while nothing changes. */
export const LIST_INTERVAL_MS = 1000
/** The same while a VM is not up or an order to it is pending. */
export const LIST_BUSY_INTERVAL_MS = 300
/**
 * A service keeps the VMs that it needed at its peak within this time. Moving a VM away and back
 * costs as much as 2.2 s of a VM, plus 1.5 s during which it cannot work.
 */
export const PEAK_HOLD_MS = 2500
/**
 * Oldest report by which a target counts as empty, in ms: a few report intervals. A new owner of
 * the service that cannot reach the owner of the fleet starts nothing for longer than that.
 */
export const EMPTY_REPORT_MAX_AGE_MS = 600
/**
 * Share of the orders per second accepted by the cloud that is used for moves; the rest is left for
 * maintenance and for orders of a previous owner. A queue can need 80 VMs and more at once when its
 * turn begins: on a cloud that accepts 215 orders per second, a fixed limit of 56 delivers only 47
 * to 56 VMs per second.
 */
export const MOVES_SHARE = 0.875
/**
 * How many times longer the late work of one service may wait than that of another before VMs move
 * between their pools: a move costs 1.5 s of a VM, and the work that receives it should gain more
 * than that. Without such moves, a pool of two VMs with 166 late jobs keeps two VMs next to a pool
 * of 52 with 196 late jobs.
 */
export const MAX_PRESSURE_RATIO = 2
/** Planned utilization of a pool, as a share; the rest absorbs bursts. */
export const PLANNED_UTILIZATION = 0.85
/** Share of a wave's duration after which running tasks no longer delay maintenance. */
export const WAVE_HURRY_AFTER = 0.6
/**
 * Share of a wave's duration during which it takes no VM that its service needs. With a share of
 * 0.6, a tenth of the VMs in two waves of 16 VMs in 27 s are maintained too late.
 */
export const WAVE_SPARE_ONLY_UNTIL = 0.3
/** Share of a wave's duration within which it is planned to be complete. */
export const WAVE_TARGET = 0.75
/** Time to empty and maintain a VM in use, in ms: 3 to 6 s without faults. */
export const EMPTY_AND_MAINTAIN_MS = 6000
/** Time within which the list must show the effect of an order, in ms. */
export const ORDER_VISIBLE_WITHIN_MS = 1500
/**
 * Time for which all lists must lack a VM before it counts as gone, in ms: longer than a usual outage
 * of the cloud, during which lists may be incomplete.
 */
export const GONE_AFTER_MS = 6000
/** Time after which an owner checks that the status of a wave is still as it wrote it, in ms. */
export const STATUS_CHECK_AFTER_MS = 10_000
/** Time for which a VM that the cloud reported as busy gets no further order, in ms. */
export const BUSY_BACKOFF_MS = 1000
/** Time after which a VM whose maintenance the cloud refuses gets the next order, in ms. */
export const REFUSED_BACKOFF_MS = 2000
/** Time for which owners are told that a life has ended, in ms: many reports. */
export const REPORT_ENDED_MS = 5000
