/** Runs the tasks of a service on its targets. */
export * from './serviceOwner.js'
