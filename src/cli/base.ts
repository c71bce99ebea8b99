/** Options and helpers that all commands share. */
import Table from 'cli-table3'
import { Command, Option } from 'clipanion'
import type { Result } from 'neverthrow'
import pc from 'picocolors'
import { createHttpPlatform } from '../platform/index.js'
import type { Platform } from '../platform/index.js'
import { EXIT, describeError } from '../shared/index.js'
import { createTableStore } from '../table/index.js'
import type { TableStore } from '../table/index.js'

/** Longest wait for the platform, in ms: a person waits for the answer. */
const CALL_TIMEOUT_MS = 5000

/** An end of a command with a message and an exit code. */
class CommandFailure extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message)
  }
}

/** What a command works with. */
export interface Session {
  platform: Platform
  store: TableStore
  editor: string
}

/** Base of all commands: output for people or as JSON. */
export abstract class OutputCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  /** Prints an error for people or as JSON. */
  fail(message: string, exitCode: number): number {
    const text = this.json ? JSON.stringify({ error: message }) : message
    this.context.stderr.write(`${text}\n`)
    return exitCode
  }

  /** Prints a value as JSON, or for people by `human`. */
  print(value: unknown, formatText: () => string): void {
    const text = this.json ? JSON.stringify(value, null, 2) : formatText()
    this.context.stdout.write(`${text}\n`)
  }

  /** Colours that are off unless the output is a terminal. */
  colors() {
    const stream = this.context.stdout as { isTTY?: boolean }
    return pc.createColors(stream.isTTY === true && process.env['NO_COLOR'] === undefined)
  }

  /** A table for people. */
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

  /** Ends the command with what was thrown. */
  failWith(cause: unknown): number {
    const code = cause instanceof CommandFailure ? cause.exitCode : EXIT.failed
    return this.fail(describeError(cause), code)
  }
}

/** Base of all commands that talk to the platform. */
export abstract class PlatformCommand extends OutputCommand {
  url = Option.String('--platform', {
    description: 'address of the platform; RILLSHUNT_PLATFORM otherwise',
  })
  editorName = Option.String('--editor', {
    description: 'whose draft to use; RILLSHUNT_EDITOR or USER otherwise',
  })

  /** The command itself; its number is the exit code. */
  abstract run(session: Session): Promise<number>

  override async execute(): Promise<number> {
    const { env } = process
    const url = this.url ?? env['RILLSHUNT_PLATFORM']
    const editor = this.editorName ?? env['RILLSHUNT_EDITOR'] ?? env['USER'] ?? 'operator'
    if (url === undefined || !URL.canParse(url)) {
      return this.fail(
        'name the platform by --platform URL or RILLSHUNT_PLATFORM',
        EXIT.usage,
      )
    }
    if (!/^[\w.@-]{1,64}$/.test(editor)) {
      return this.fail(
        `--editor: '${editor}' is no name of letters, digits, . _ @ -`,
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

/** Borders of a table, all left out. */
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

/** The value, or an end of the command with the error's message. */
export function unwrap<T>(result: Result<T, Error>, exitCode: number = EXIT.failed): T {
  if (result.isOk()) return result.value
  throw new CommandFailure(describeError(result.error), exitCode)
}

/** A cell's text for people. */
export function formatCell(value: string | null): string {
  return value === null ? '(default)' : `'${value}'`
}
