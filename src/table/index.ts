/** The operators' table: schema, drafts, accepts and the epoch in force. */
export * from './csv.js'
export * from './feed.js'
export * from './inForce.js'
export * from './merge.js'
export * from './records.js'
export * from './schema.js'
export * from './store.js'
