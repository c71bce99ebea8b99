/** Rows that describe VMs, jobs, waves, budgets and leases. */
export * from './records.js'
