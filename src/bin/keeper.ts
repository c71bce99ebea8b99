#!/usr/bin/env node
/** `rillshunt-keeper`: decides pools, placements and waves of a data hall. */
import { createKeeperProgram, runProgram } from '../programs/index.js'

await runProgram('rillshunt-keeper', createKeeperProgram)
