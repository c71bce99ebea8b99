/** What callers reach: jobs, and the nodes behind them. */
export * from './jobService.js'
export * from './ownerCalls.js'
