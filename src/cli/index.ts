/** The operators' command line. */
import { Builtins, Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'
import { Explain } from './explainCommand.js'
import { Jobs, Pools, Vms, Waves } from './fleetCommands.js'
import * as tableCommands from './tableCommands.js'

/** Creates the command line with all commands. */
export function createCli(): Cli {
  const cli = new Cli({ binaryLabel: 'rillshunt', binaryName: 'rillshunt' })
  const own: CommandClass[] = [
    ...Object.values(tableCommands),
    Explain,
    Jobs,
    Pools,
    Vms,
    Waves,
  ]
  for (const command of [Builtins.HelpCommand, ...own]) cli.register(command)
  return cli
}
