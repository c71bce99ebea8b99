/** Local copies of rows that others write to the store: configuration, waves, targets. */
export * from './rowMirror.js'
export * from './configurationHolder.js'
export * from './targetList.js'
export * from './targetSource.js'
export * from './ownedServices.js'
export * from './lastKnownOrganisation.js'
