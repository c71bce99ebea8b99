#!/usr/bin/env node
/** `rillshunt-entry`: answers callers and routes their requests to targets. */
import { createEntry, runProgram } from '../programs/index.js'

await runProgram('rillshunt-entry', createEntry)
