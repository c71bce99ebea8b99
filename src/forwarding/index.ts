/** Orders to targets through other nodes, for owners that lack processor time. */
export * from './constants.js'
export * from './forwardedOrders.js'
export * from './forwardClient.js'
export * from './forwarder.js'
export * from './forwarderChoice.js'
export * from './forwardServer.js'
