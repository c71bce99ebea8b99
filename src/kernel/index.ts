/** Kernel: named services, their start order and planned stop. */
export * from './kernel.js'
