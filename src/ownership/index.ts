/** Which nodes are alive, and which of them owns which service. */
export * from './nodeRegistry.js'
export * from './ownership.js'
export type { Authority, Owner } from './authority.js'
export { commitUnderEpoch } from './epochCommit.js'
export { EPOCH_TABLE, decodeEpoch } from './epochRow.js'
export { NODES_TABLE, decodeNode } from './nodeRow.js'
export { nodeParts } from './nodeRowReader.js'
export * from './constants.js'
