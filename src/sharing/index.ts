/** Sharing of targets between tasks that serve and tasks that fill. */
export * from './pacer.js'
