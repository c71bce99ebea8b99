/** Sharing of targets between tasks that serve users and filler tasks. */
export * from './pacer.js'
