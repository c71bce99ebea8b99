#!/usr/bin/env node
/** `rillshunt`: the command line for operators. */
import { createCli } from '../cli/index.js'

process.exitCode = await createCli().run(process.argv.slice(2))
