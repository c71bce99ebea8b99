/** Weighted shares of organisations in the room of all services, as virtual time. */
export * from './accounts.js'
export * from './aging.js'
export * from './dominantCpu.js'
export * from './shareLedger.js'
export * from './shareOrder.js'
export * from './types.js'
export * from './weights.js'
