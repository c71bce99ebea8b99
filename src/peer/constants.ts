/** Limits and intervals of the messages between processes. */

/** Maximum number of leaving VMs in one report. */
export const MAX_LEAVING_VMS = 512
/** Maximum number of services in one report or loan message. */
export const MAX_SERVICE_LOADS = 512
/** Maximum number of stopping jobs, and of draining jobs, in one report. */
export const MAX_REPORTED_JOBS = 512
/** Maximum number of claims of unrepeatable requests in one message. */
export const MAX_CLAIMS_PER_MESSAGE = 50_000
/** Maximum size of a message, in bytes. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024
/** Interval between syncs with a peer of the same hall, in ms. */
export const SYNC_INTERVAL_MS = 1000
/** Interval between syncs with a peer of another hall, in ms. */
export const REMOTE_SYNC_INTERVAL_MS = 5000
/**
 * Time after which the client closes an idle connection, in ms. It is longer than the
 * interval between syncs, so that each sync finds an open connection.
 */
export const CLIENT_IDLE_TIMEOUT_MS = 15_000
/**
 * Time after which the server closes an idle connection, in ms. It is longer than that of
 * the client: a server that closes first can reset a call that is on its way, and the
 * client cannot tell whether that call took effect.
 */
export const SERVER_IDLE_TIMEOUT_MS = 60_000
/** Time that a stop leaves for replies under way, in ms. */
export const CLOSE_GRACE_MS = 100
/** Sync intervals without a report for which a peer still counts as reached. */
export const MAX_REACHABLE_INTERVALS = 3
/** Sync intervals without a report after which the passive side of a pair syncs too. */
export const FALLBACK_SYNC_INTERVALS = 1.5
/** Time-out of a call, in ms; time in which this process cannot read does not count. */
export const CALL_TIMEOUT_MS = 1500
/**
 * Time-out of a call that transfers claims of unrepeatable requests, in ms. Waiting for a
 * slow peer delays a stop or a start by some seconds; losing the claims affects callers
 * for ten minutes.
 */
export const CLAIM_TRANSFER_TIMEOUT_MS = 3000
/** Time without a report after which a peer is logged as lost, in ms. */
export const LOST_AFTER_MS = 5000
