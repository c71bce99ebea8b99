/**
 * Runs the soak by hand: `--seeds N --from K` draws that many plans, `--plan FILE` plays one
 * that was kept; `--parallel`, `--seconds` and `--dir` say how many at a time, how long
 * faults come, and where the logs go.
 */
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { drawPlan, readPlan } from './plan.js'
import type { SoakPlan } from './plan.js'
import { runSoak } from './run.js'

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '10' },
    from: { type: 'string', default: '1' },
    parallel: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '45' },
    dir: { type: 'string', default: '/tmp/rillshunt-soak' },
    plan: { type: 'string' },
  },
})

function plans(): SoakPlan[] {
  if (values.plan !== undefined) return [readPlan(values.plan)]
  const from = Number(values.from)
  return Array.from({ length: Number(values.seeds) }, (_, each) =>
    drawPlan(from + each, Number(values.seconds) * 1000),
  )
}

const waiting = plans()
let failed = 0

async function work(): Promise<void> {
  for (let plan = waiting.shift(); plan; plan = waiting.shift()) {
    const dir = join(values.dir, `seed-${plan.seed}`)
    const { failures, ...figures } = await runSoak(plan, dir)
    if (failures.length > 0) failed++
    const kinds = [...new Set(failures.map(({ promise }) => promise))]
    const verdict = kinds.length === 0 ? 'kept' : `BROKEN ${kinds.join(', ')}`
    console.log(`${verdict} ${JSON.stringify(figures)}`)
    for (const each of failures.slice(0, 5)) console.log(`  ${JSON.stringify(each)}`)
  }
}

await Promise.all(Array.from({ length: Number(values.parallel) }, work))
console.log(`${failed} of the seeds broke a promise; logs: ${values.dir}`)
process.exitCode = failed === 0 ? 0 : 1
