/** Command line and signal handling of the long-running programs. */
import { parseArgs } from 'node:util'
import { loadConfig, printConfig } from '../config/index.js'
import type { ResolvedConfig } from '../config/index.js'
import type { Kernel } from '../kernel/index.js'
import { EXIT, createFdSink, createLogger } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

const USAGE = `Options:
  --config FILE    settings in INI (required)
  --check-config   check the settings and exit
  --print-config   print the resolved settings and exit
  --help           print this`

/** Runs a program until SIGTERM or SIGINT, then stops it as planned. */
export async function runProgram(
  name: string,
  create: (cfg: ResolvedConfig, log: Logger) => Kernel,
): Promise<void> {
  const options = readOptions(name)
  if (!options) return
  const loaded = await loadConfig(options.config)
  if (loaded.isErr()) return exitWith(EXIT.usage, loaded.error.message)
  const cfg = loaded.value
  if (options.print) return void process.stdout.write(`${printConfig(cfg)}\n`)
  if (options.check) return void process.stdout.write(`${options.config}: ok\n`)

  const { level, routing } = cfg.log
  const base = { program: name, node: cfg.node.id, hall: cfg.node.hall }
  const stream = createFdSink(process.stdout.fd)
  const log = createLogger({ level, routing, base, stream })
  const kernel = create(cfg, log)
  const stop = stopOnSignal(kernel, log)
  const started = await kernel.start()
  if (started.isErr()) {
    await log.close()
    exitWith(EXIT.failed, started.error.message)
    return
  }
  await stop
}

function exitWith(code: number, message: string): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = code
}

function stopOnSignal(kernel: Kernel, log: Logger): Promise<void> {
  return new Promise((resolve) => {
    const stop = () => {
      void kernel
        .stop()
        .then(() => log.close())
        .then(resolve)
    }
    // A second SIGTERM does not interrupt the stop. A second SIGINT ends the process at
    // once, for an operator who does not want to wait.
    process.on('SIGTERM', stop)
    process.once('SIGINT', stop)
  })
}

function readOptions(
  name: string,
): { config: string; check: boolean; print: boolean } | undefined {
  try {
    const { values } = parseArgs({
      options: {
        config: { type: 'string' },
        'check-config': { type: 'boolean', default: false },
        'print-config': { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    })
    if (values.help) {
      process.stdout.write(`Usage: ${name} --config FILE\n${USAGE}\n`)
      return undefined
    }
    if (values.config !== undefined) {
      const { config } = values
      return { config, check: values['check-config'], print: values['print-config'] }
    }
    exitWith(EXIT.usage, `${name}: --config FILE is required\n${USAGE}`)
  } catch (cause) {
    exitWith(EXIT.usage, `${name}: ${(cause as Error).message}\n${USAGE}`)
  }
  return undefined
}
