/** INI settings: schema, defaults and validation. */
export {
  allowedKeys,
  loadConfig,
  parseConfig,
  printConfig,
  resolveConfig,
} from './resolveConfig.js'
export { loadNodeConfig, parseNodeConfig } from './nodeConfig.js'
export type { LoadedNodeConfig } from './nodeConfig.js'
export { vmLimitsOf } from './schema.js'
export type { ResolvedConfig, UserConfig } from './schema.js'
export type { PeerAddress } from './values.js'
export { featuresOf } from './features.js'
export type { Feature } from './features.js'
export type { NodeConfig } from './nodeSchema.js'
export { unknownContracts } from './nodeSchema.js'
