/** Names of headers and bounds of the entry. */

/** Outcome of a request, on every answer; also how a target says that it did not run it. */
export const OUTCOME_HEADER = 'rillshunt-outcome'
/** Id of a request; made by the entry where the caller gives none. */
export const REQUEST_ID_HEADER = 'rillshunt-request-id'
/** `yes` or `no`: whether a request may run twice. */
export const REPEATABLE_HEADER = 'rillshunt-repeatable'
/** Ms that the caller is ready to wait. */
export const DEADLINE_HEADER = 'rillshunt-deadline-ms'
/** Which requests go first: urgent, normal or deferrable. */
export const PRIORITY_HEADER = 'rillshunt-priority'

/** Team of the caller; teams of a band take turns by their weights. */
export const TEAM_HEADER = 'rillshunt-team'

/** Path at which a target tells who it is. */
export const HEALTH_PATH = '/health'

/** Longest deadline that a caller may ask for, in ms. */
export const MAX_DEADLINE_MS = 3_600_000
/** Idle connections kept per target. */
export const MAX_IDLE_CONNECTIONS = 32
/** Time after which an idle connection is closed, in ms. */
export const IDLE_TIMEOUT_MS = 30_000
/**
 * Time after which an idle connection of a caller is closed, in ms. Longer than balancers
 * keep one (60 s where nothing else is set): closed from here, it would reset a request
 * that is on its way, and the caller could not know whether that ran.
 */
export const KEEP_ALIVE_TIMEOUT_MS = 75_000
/** Failures in a row after which a target is excluded. */
export const EXCLUDE_AFTER_FAILURES = 3
/** First time of exclusion, in ms; it doubles up to the cap. */
export const EXCLUDE_BASE_MS = 1000
export const EXCLUDE_CAP_MS = 30_000
/** Share of a service's targets that may be excluded at once. */
export const MAX_EXCLUDED_SHARE = 0.5
/** Seconds after which a refused caller should come back. */
export const RETRY_AFTER_S = 1
/** Times that the owner of an unrepeatable request's id is asked while it is unsure. */
export const ONCE_CLAIM_ATTEMPTS = 12
/** Pause between two of them, in ms. */
export const ONCE_CLAIM_PAUSE_MS = 200
/** Longest pause before the second attempt of a request, in ms; it doubles up to the cap. */
export const RETRY_BASE_MS = 5
export const RETRY_CAP_MS = 100
