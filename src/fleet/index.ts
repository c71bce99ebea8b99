/** Rows that describe VMs, jobs, waves, budgets and leases. */
export * from './checkedRow.js'
export * from './records.js'
