/** The long-running programs. */
export * from './main.js'
export * from './programs.js'
