/** Bounds of what processes say to each other. */

/** Most VMs named in one report. */
export const MAX_LEAVING_VMS = 512
/** Most services named in one report. */
export const MAX_SERVICE_LOADS = 512
/** Most jobs named in one report. */
export const MAX_REPORTED_JOBS = 512
/** Most remembered requests in one message. */
export const MAX_CLAIMS_PER_MESSAGE = 50_000
/** Longest message, in bytes. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024
/** Time between two syncs with a peer of the same hall, in ms. */
export const SYNC_INTERVAL_MS = 1000
/** Time between two syncs with a peer of another hall, in ms. */
export const REMOTE_SYNC_INTERVAL_MS = 5000
/**
 * Time after which the calling side closes an idle connection, in ms: longer than the time
 * between two syncs, so that each finds one open.
 */
export const CLIENT_IDLE_TIMEOUT_MS = 15_000
/**
 * Time after which the other side does, in ms. Closing first, it would reset a call that is
 * on its way, and the caller could not know whether that had an effect.
 */
export const SERVER_IDLE_TIMEOUT_MS = 60_000
/** Time for answers under way at a stop, in ms. */
export const CLOSE_GRACE_MS = 100
/** Intervals of silence for which a peer still counts as reached. */
export const MAX_REACHABLE_INTERVALS = 3
/** Intervals of silence after which the other side of a pair asks too. */
export const FALLBACK_SYNC_INTERVALS = 1.5
/** Longest wait for an answer, in ms; time in which this process cannot read is added. */
export const CALL_TIMEOUT_MS = 1500
/**
 * Longest wait while the memory of unrepeatable requests changes hands, in ms: a peer that
 * is late costs a stop or a start some seconds, a lost memory costs callers ten minutes.
 */
export const CLAIM_TRANSFER_TIMEOUT_MS = 3000
/** A peer that was silent for so long is reported as lost, in ms. */
export const LOST_AFTER_MS = 5000
