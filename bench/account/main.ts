/** `npm run account -- LOG [SVG]`: shows the waits of tasks in a run and their causes. */
import { readFileSync, writeFileSync } from 'node:fs'
import Table from 'cli-table3'
import { buildAccount } from './buildAccount.js'
import { plotAccount } from './plotAccount.js'
import { readLog } from './readLog.js'

const [file, svgFile] = process.argv.slice(2)
if (file === undefined) {
  console.error('Usage: npm run account -- LOG [SVG]')
  process.exit(2)
}
const account = buildAccount(readLog(readFileSync(file, 'utf8')))
const services = [
  ...new Set(account.seconds.flatMap((each) => [...each.byService.keys()])),
]
const rows = new Table({ head: ['second', ...services, 'new owners'] })
for (const { at, byService, newOwners } of account.seconds) {
  const cells = services.map((service) => {
    const entry = byService.get(service)
    return entry ? `${entry.jobs} jobs, ${entry.starts} starts, ${entry.waitMs} ms` : ''
  })
  rows.push([String(at), ...cells, newOwners.join(' ')])
}
console.log(rows.toString())
const causes = new Table({ head: ['waited for', 'task-seconds'] })
for (const [cause, sum] of account.waited) causes.push([cause, sum.toFixed(1)])
for (const [failure, count] of account.refused)
  causes.push([`jobs ${failure}`, `${count}`])
console.log(causes.toString())
if (svgFile !== undefined) writeFileSync(svgFile, plotAccount(account))
