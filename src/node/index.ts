/** `rillshunt-node`: all services that run on an entry VM of the platform. */
export * from './nodeServices.js'
export * from './nodeMetrics.js'
export * from './waitForSettings.js'
export type { NodePlatform } from './serviceMap.js'
