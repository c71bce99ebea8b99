/** The fleet of VMs: pools, moves, maintenance waves. */
export * from './fleetOwner.js'
export * from './types.js'
export * from './constants.js'
export { WAVES_TABLE, decodeWaveRow } from './waveRows.js'
