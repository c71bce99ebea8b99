/** Front end of a node: job requests of callers, and calls to the owners on other nodes. */
export * from './jobService.js'
export * from './nodeClients.js'
export * from './ownerCalls.js'
export * from './ownerRoutes.js'
export type { Answer } from './storedJobs.js'
