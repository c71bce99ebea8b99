/** Plans the pools, job placements and waves of a hall, under its lease. */
export * from './decisionLog.js'
export { keeperPrefixes, readFleetState } from './fleetState.js'
export * from './keeper.js'
export * from './lease.js'
export * from './placement.js'
export * from './pools.js'
export * from './waves.js'
