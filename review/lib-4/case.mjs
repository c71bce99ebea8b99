/** Runs a case: writes its record, and turns its verdict into the exit status. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { now } from './http.mjs'

/** Longest time that a case may take, in ms. */
const LIMIT_MS = 118_000
const EXIT = { held: 0, broken: 1, notRun: 2 }

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Runs the scenario and exits with 1 if it returns a text that says how the rule was broken, with 0
 * if it returns undefined, and with 2 if it throws.
 *
 * @param url `import.meta.url` of the case
 */
export async function runCase(url, scenario) {
  const file = join(fileURLToPath(new URL('.', url)), 'record.txt')
  const beganAt = now()
  const lines = [`trouble: ${hasTrouble ? 'yes' : 'no'}`]
  const cleanups = []
  const record = (what, more) => {
    const seconds = ((now() - beganAt) / 1000).toFixed(2).padStart(7)
    lines.push(
      `${seconds} ${what}${more === undefined ? '' : ` ${JSON.stringify(more)}`}`,
    )
  }
  const finish = (status, text) => {
    record(text)
    for (const cleanup of cleanups) cleanup()
    writeFileSync(file, `${lines.join('\n')}\n`)
    process.stdout.write(`${text}\n`)
    process.exit(status)
  }
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => finish(EXIT.notRun, `ended by ${signal}`))
  setTimeout(() => finish(EXIT.notRun, 'the case took too long'), LIMIT_MS)
  try {
    const broken = await scenario({ record, onEnd: (cleanup) => cleanups.push(cleanup) })
    if (broken === undefined) finish(EXIT.held, 'the rule held')
    finish(EXIT.broken, `the rule was broken: ${broken}`)
  } catch (cause) {
    finish(EXIT.notRun, `the case could not run: ${cause.stack ?? cause}`)
  }
}
