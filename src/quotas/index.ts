/** Quotas of organisations: what they may use at most over all targets, divided between services. */
export * from './amounts.js'
export * from './maximum.js'
export * from './quotaLedger.js'
export * from './types.js'
