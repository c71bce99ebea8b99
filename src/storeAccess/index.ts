/** Access to the store: silence is noticed early, and peers help where one is turned away. */
export * from './storeAccess.js'
export * from './storeCall.js'
export * from './peerRelay.js'
export * from './pageSize.js'
