#!/usr/bin/env node
/** `rillshunt-entry`: accepts requests of callers and routes them to targets. */
import { createEntry, runProgram } from '../programs/index.js'

await runProgram('rillshunt-entry', createEntry)
