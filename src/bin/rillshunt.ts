#!/usr/bin/env node
/** `rillshunt`: the operators' command line. */
import { createCli } from '../cli/index.js'

process.exitCode = await createCli().run(process.argv.slice(2))
