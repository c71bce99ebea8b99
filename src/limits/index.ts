/** Bounds what clients can take of the process: connections, requests and memory. */
export { maxJobBytes } from './budget.js'
export type { Endpoint, VmLimits } from './budget.js'
export { createServerLimits } from './serverLimits.js'
export type { ServerLimits } from './serverLimits.js'
export { releaseBytes } from './connection.js'
export { BODY_TOO_LARGE, CALLER_LEFT, readBody } from './readBody.js'
