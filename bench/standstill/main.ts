/** `npm run standstill -- LOG [COUNT]`: shows the longest standstills of a run. */
import { readFileSync } from 'node:fs'
import Table from 'cli-table3'
import { readLog } from '../account/readLog.js'
import { findStandstills } from './findStandstills.js'
import { findLogGaps } from './findLogGaps.js'

/** Number of jobs that are shown by default. */
const DEFAULT_COUNT = 10

const [file, count = String(DEFAULT_COUNT)] = process.argv.slice(2)
if (file === undefined) {
  console.error('Usage: npm run standstill -- LOG [COUNT]')
  process.exit(2)
}
const text = readFileSync(file, 'utf8')
const events = readLog(text)
const gaps = findLogGaps(text)
const start = events.find(({ name }) => name === 'jobTaken')?.at ?? 0
const { standstills, incomplete } = findStandstills(events, gaps)
const seconds = (ms: number): string => (ms / 1000).toFixed(1)

const rows = new Table({
  head: ['job', 'service', 'from s', 'standstill s', 'with room s', 'open', 'said'],
})
for (const each of standstills.slice(0, Number(count))) {
  const explanations = [...each.reasons].map(([reason, times]) => `${times} x ${reason}`)
  rows.push([
    each.job,
    each.service,
    seconds(each.from - start),
    seconds(each.ms),
    seconds(each.withRoomMs),
    each.unfinished ? 'yes' : '',
    explanations.join(', '),
  ])
}
console.log(rows.toString())
const longest = Math.max(0, ...standstills.map(({ ms }) => ms))
const stalled = events.filter(({ name }) => name === 'jobStalled').length
const withRoom = standstills[0]?.withRoomMs ?? 0
console.log(`longest ${seconds(longest)} s, with room ${seconds(withRoom)} s`)
console.log(`${stalled} x jobStalled`)
console.log(`${gaps.length} gaps in the logs`)
if (incomplete.length > 0)
  console.log(`open jobs with incomplete logs: ${incomplete.join(' ')}`)
