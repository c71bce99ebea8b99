/** The command line for operators. */
import { Builtins, Cli } from 'clipanion'
import type { CommandClass } from 'clipanion'
import { Explain } from './explainCommand.js'
import { Jobs, Pools, Vms, Waves } from './fleetCommands.js'
import { NodeHalls } from './hallCommands.js'
import { TableAccept } from './acceptCommand.js'
import * as nodeCommands from './nodeCommands.js'
import * as nodeJobCommands from './nodeJobCommands.js'
import * as draftCommands from './draftCommands.js'
import * as csvCommands from './csvCommands.js'
import * as statusCommands from './statusCommands.js'

/** Creates the command line with all commands. */
export function createCli(): Cli {
  const cli = new Cli({ binaryLabel: 'rillshunt', binaryName: 'rillshunt' })
  const commands: CommandClass[] = [
    ...Object.values(nodeJobCommands),
    ...Object.values(nodeCommands),
    ...Object.values(draftCommands),
    ...Object.values(csvCommands),
    ...Object.values(statusCommands),
    NodeHalls,
    TableAccept,
    Explain,
    Jobs,
    Pools,
    Vms,
    Waves,
  ]
  for (const command of [Builtins.HelpCommand, ...commands]) cli.register(command)
  return cli
}
