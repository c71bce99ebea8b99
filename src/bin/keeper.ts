#!/usr/bin/env node
/** `rillshunt-keeper`: manages pools, placements and waves of a data hall. */
import { createKeeperProgram, runProgram } from '../programs/index.js'

await runProgram('rillshunt-keeper', createKeeperProgram)
