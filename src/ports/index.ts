/** Interfaces to external systems: store, targets, VMs, advice, configuration. */
export * from './rowStore.js'
export * from './targetOrders.js'
export * from './vmCloud.js'
export * from './advice.js'
export * from './configuration.js'
export * from './documents.js'
