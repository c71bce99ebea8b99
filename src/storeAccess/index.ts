/** Store access with a circuit breaker, and with relaying through peers if a node is refused. */
export * from './storeAccess.js'
export * from './storeCall.js'
export * from './peerRelay.js'
export * from './pageSize.js'
export * from './transactions.js'
