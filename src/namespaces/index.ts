/** Names under which the ids of jobs are recorded. */
export * from './namespaceRow.js'
export * from './namespaces.js'
