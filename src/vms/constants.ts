/** Times and weights of VM decisions. Times are in ms, on the steady clock. */

/** Time between two rounds of decisions; a move takes 1.5 s, so less gains nothing. */
export const ROUND_MS = 250
/** Time between two reports of a service's owner. */
export const REPORT_MS = 250
/** Reports older than this are not acted on: four of them were lost. */
export const REPORT_STALE_MS = 1500
/** Time between two readings of the list of VMs while nothing changes. */
export const LIST_MS = 1000
/** The same while a VM is away through an order of ours. */
export const LIST_BUSY_MS = 300
/**
 * Time for which a VM must be more than its service needs before it is parked. A move
 * costs about as much as 1.1 s of a VM in a pool, there and back twice that.
 */
export const PARK_AFTER_MS = 1500
/** Orders to the cloud in one round; the platform allows 64 a second over all nodes. */
export const ORDERS_PER_ROUND = 12
/** Share of a pool that is planned to be in use; the rest takes bursts. */
export const PLANNED_USE = 0.85
/** Window over which arriving work is averaged, for the demand to expect. */
export const ARRIVAL_WINDOW_MS = 1500
/** Part of a wave's time after which running tasks do not hold up maintenance any more. */
export const WAVE_PATIENCE = 0.6
