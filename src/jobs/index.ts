/** Jobs: the schema that callers submit, the rows in the store, and the state in memory. */
export * from './schema.js'
export * from './records.js'
export * from './job.js'
export * from './jobMemory.js'
export * from './crashes.js'
export * from './jobDelays.js'
export * from './progress.js'
export * from './jobBook.js'
