/** INI settings: schema, defaults, checks. */
export * from './resolveConfig.js'
export type { ResolvedConfig, UserConfig } from './schema.js'
export type { PeerAddress } from './values.js'
export type { NodeConfig } from './nodeSchema.js'
export { unknownContracts } from './nodeSchema.js'
