/** Options and helpers shared by all commands. */
import Table from 'cli-table3'
import { Command, Option } from 'clipanion'
import type { Result } from 'neverthrow'
import pc from 'picocolors'
import { createHttpPlatform } from '../platform/index.js'
import type { Platform } from '../platform/index.js'
import { EXIT, describeError } from '../shared/index.js'
import { createTableStore } from '../table/index.js'
import type { TableStore } from '../table/index.js'

/** Time-out of a call to the platform, in ms: an operator waits for the reply. */
const CALL_TIMEOUT_MS = 5000

/** Ends a command with a message and an exit code. */
class CommandFailure extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message)
  }
}

/** Clients and editor that a command runs with. */
export interface Session {
  platform: Platform
  store: TableStore
  editor: string
}

/** Base of all commands: output as text or JSON. */
export abstract class OutputCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  /** Prints an error as text or JSON; returns the exit code. */
  fail(message: string, exitCode: number): number {
    const text = this.json ? JSON.stringify({ error: message }) : message
    this.context.stderr.write(`${text}\n`)
    return exitCode
  }

  /** Prints a value as JSON, or the text that `formatText` returns. */
  print(value: unknown, formatText: () => string): void {
    const text = this.json ? JSON.stringify(value, null, 2) : formatText()
    this.context.stdout.write(`${text}\n`)
  }

  /** Colours; off unless the output is a terminal and NO_COLOR is unset. */
  colors() {
    const stream = this.context.stdout as { isTTY?: boolean }
    return pc.createColors(stream.isTTY === true && process.env['NO_COLOR'] === undefined)
  }

  /** Formats a text table without borders. */
  formatTable(head: string[], lines: (string | number)[][]): string {
    const noBorders = Object.fromEntries(BORDERS.map((name) => [name, '']))
    const table = new Table({
      head: head.map((each) => this.colors().bold(each)),
      style: { head: [], border: [], 'padding-left': 0, 'padding-right': 2 },
      chars: noBorders,
    })
    table.push(...lines)
    const text = table.toString()
    return text
      .split('\n')
      .map((line) => line.trimEnd())
      .join('\n')
  }

  /** Prints a thrown error; returns the exit code. */
  failWith(cause: unknown): number {
    const code = cause instanceof CommandFailure ? cause.exitCode : EXIT.failed
    return this.fail(describeError(cause), code)
  }
}

/** Base of commands that call the platform. */
export abstract class PlatformCommand extends OutputCommand {
  url = Option.String('--platform', {
    description: 'URL of the platform (default: $RILLSHUNT_PLATFORM)',
  })
  editorName = Option.String('--editor', {
    description: 'editor whose draft is used (default: $RILLSHUNT_EDITOR, then $USER)',
  })

  /** Runs the command; returns the exit code. */
  abstract run(session: Session): Promise<number>

  override async execute(): Promise<number> {
    const { env } = process
    const url = this.url ?? env['RILLSHUNT_PLATFORM']
    const editor = this.editorName ?? env['RILLSHUNT_EDITOR'] ?? env['USER'] ?? 'operator'
    if (url === undefined || !URL.canParse(url)) {
      return this.fail(
        'no valid URL for the platform: use --platform URL or set RILLSHUNT_PLATFORM',
        EXIT.usage,
      )
    }
    if (!/^[\w.@-]{1,64}$/.test(editor)) {
      return this.fail(
        `--editor: '${editor}' must be 1 to 64 letters, digits and . _ @ -`,
        EXIT.usage,
      )
    }
    const platform = createHttpPlatform({
      url: new URL(url).origin,
      timeoutMs: CALL_TIMEOUT_MS,
      node: `cli-${editor}`,
    })
    try {
      return await this.run({ platform, store: createTableStore(platform), editor })
    } catch (cause) {
      return this.failWith(cause)
    } finally {
      await platform.close()
    }
  }
}

/** Border parts of cli-table3, all of them left out. */
const BORDERS = [
  'top',
  'top-mid',
  'top-left',
  'top-right',
  'bottom',
  'bottom-mid',
  'bottom-left',
  'bottom-right',
  'left',
  'left-mid',
  'mid',
  'mid-mid',
  'right',
  'right-mid',
  'middle',
]

/** Returns the value, or throws an error that ends the command with the exit code. */
export function unwrap<T>(result: Result<T, Error>, exitCode: number = EXIT.failed): T {
  if (result.isOk()) return result.value
  throw new CommandFailure(describeError(result.error), exitCode)
}

/** Formats the value of a cell. */
export function formatCell(value: string | null): string {
  return value === null ? '(default)' : `'${value}'`
}
