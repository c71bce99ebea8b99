/** Times and weights of VM decisions. Times are in ms, on the steady clock. */

/** Time between two rounds of decisions while no report comes. */
export const ROUND_INTERVAL_MS = 100
/**
 * Shortest time between two rounds: a sixth of the time between two reports of a service,
 * so that reports of several services that come together make one round.
 */
export const MIN_ROUND_INTERVAL_MS = 25
/** Time between two reports of a service's owner. */
export const REPORT_MS = 150
/** Reports older than this are not acted on: four of them were lost. */
export const REPORT_STALE_MS = 1500
/** Time between two readings of the list of VMs while nothing changes. */
export const LIST_INTERVAL_MS = 1000
/** The same while a VM is away through an order of ours. */
export const LIST_BUSY_INTERVAL_MS = 300
/**
 * A service keeps the VMs that it needed at its peak within this time. A move there and
 * back costs as much as 2.2 s of a VM, and 1.5 s during which it cannot work.
 */
export const PEAK_HOLD_MS = 2500
/**
 * A target counts as empty by a report of this age at most, in ms: a few reports. A new
 * owner of its service that cannot reach us starts nothing for longer than that.
 */
export const EMPTY_REPORT_MAX_AGE_MS = 600
/**
 * Share of the orders that the cloud takes in a second which goes to moves; the rest is for
 * maintenance and for orders of a predecessor. On a cloud that takes 215, a bound of 56
 * brought the VMs of a turn 47 to 56 a second, where it needs 80 and more at once.
 */
export const MOVES_SHARE = 0.875
/**
 * Late work of one service may wait so many times longer than that of another before VMs move
 * between them: a move takes 1.5 s of a VM, and work to which it comes should gain more than that.
 * A pool of two VMs with 166 late jobs stayed one of two beside one of 52 with 196.
 */
export const MAX_PRESSURE_RATIO = 2
/** Share of a pool that is planned to be in use; the rest takes bursts. */
export const PLANNED_UTILIZATION = 0.85
/** Part of a wave's time after which running tasks do not hold up maintenance any more. */
export const WAVE_HURRY_AFTER = 0.6
/**
 * Part of a wave's time in which it takes no VM that its service needs. Held back for 0.6
 * of the time, a tenth of two waves of 16 VMs in 27 s came too late.
 */
export const WAVE_SPARE_ONLY_UNTIL = 0.3
/** Part of a wave's time in which it is planned to be over. */
export const WAVE_TARGET = 0.75
/** Time to empty a VM in use and to maintain it, in ms: measured 3 to 6 s on calm days. */
export const EMPTY_AND_MAINTAIN_MS = 6000
/** Time after an order within which the list must show it, in ms. */
export const ORDER_VISIBLE_WITHIN_MS = 1500
/** A VM that the cloud would not order about gets no order for so long, in ms. */
export const BUSY_BACKOFF_MS = 1000
/** Time for which owners are told of a life that has ended, in ms: many reports. */
export const REPORT_ENDED_MS = 5000
