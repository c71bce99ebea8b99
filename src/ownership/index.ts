/** Which nodes live and which of them owns which service. */
export * from './nodeRegistry.js'
export * from './ownership.js'
export * from './constants.js'
