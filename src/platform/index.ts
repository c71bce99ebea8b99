/** Client of the platform: transactions, objects, the list of VMs and worker tasks. */
export * from './commit.js'
export * from './httpPlatform.js'
export * from './types.js'
export * from './rowWatch.js'
