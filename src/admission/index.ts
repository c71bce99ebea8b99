/** Admission of jobs at the front: refuses jobs that cannot be served in time. */
export * from './types.js'
export * from './decision.js'
export * from './frontAdmission.js'
export * from './latestLoads.js'
