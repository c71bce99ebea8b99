/** Runs the tasks of a service on its targets. */
export * from './serviceOwner.js'
export { waitReportSchema } from './waitWatch.js'
export type { WaitReport } from './waitWatch.js'
export { QUOTAS_TABLE, decodeQuotaBounds } from './quotaRow.js'
export { readProgressOf } from './storedProgress.js'
