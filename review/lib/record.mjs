/** Record of a run: what was sent, answered and run. */
import { appendFileSync, writeFileSync } from 'node:fs'

/** Starts the record anew; the returned function appends a line with the time since then. */
export function openRecord(file) {
  const startedAt = performance.now()
  writeFileSync(file, '')
  return (line) => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)
    appendFileSync(file, `${seconds}  ${line}\n`)
    process.stdout.write(`${seconds}  ${line}\n`)
  }
}
