/** Copies of what others keep in the store: configuration, waves, targets. */
export * from './rowMirror.js'
export * from './configurationHolder.js'
export * from './targetList.js'
export * from './targetSource.js'
