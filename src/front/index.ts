/** What callers reach: jobs, and the nodes behind them. */
export * from './jobService.js'
export * from './nodeClients.js'
export * from './ownerCalls.js'
export * from './ownerRoutes.js'
export type { Answer } from './storedJobs.js'
