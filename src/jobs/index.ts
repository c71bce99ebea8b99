/** Jobs: what callers hand in, its rows, its state. */
export * from './schema.js'
export * from './records.js'
export * from './job.js'
export * from './crashes.js'
export * from './jobDelays.js'
export * from './progress.js'
export * from './jobBook.js'
