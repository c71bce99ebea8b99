/** Errors, events, logs and metrics that every area uses. */
export * from './errors.js'
export * from './events.js'
export * from './exit.js'
export * from './logger.js'
export * from './utils.js'
export * from './metrics.js'
export * from './fdSink.js'
export * from './silence.js'
