/** Services by name, start order, planned stop. */
export * from './kernel.js'
