/**
 * Command line of the soak. `--seeds N --from K` runs the plans of the N seeds from K on; file
 * arguments run the plans in these files instead. `--parallel` sets the number of concurrent
 * runs, `--seconds` the time during which faults begin, and `--dir` the directory of the logs.
 * `--restarts` draws plans of restarts of targets.
 */
import { basename, join } from 'node:path'
import { parseArgs } from 'node:util'
import { drawPlan, drawRestartPlan, readPlan } from './plan.js'
import type { SoakPlan } from './plan.js'
import { runSoak } from './run.js'

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seeds: { type: 'string', default: '10' },
    from: { type: 'string', default: '1' },
    parallel: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '45' },
    restarts: { type: 'boolean', default: false },
    dir: { type: 'string', default: '/tmp/rillshunt-soak' },
  },
})

/** The plans to run, with the names of their log directories. */
function plans(): [name: string, plan: SoakPlan][] {
  if (positionals.length > 0) {
    return positionals.map((file) => [basename(file, '.json'), readPlan(file)])
  }
  const from = Number(values.from)
  return Array.from({ length: Number(values.seeds) }, (_, each) => {
    const seed = from + each
    const lengthMs = Number(values.seconds) * 1000
    return values.restarts
      ? [`restarts-${seed}`, drawRestartPlan(seed, lengthMs)]
      : [`seed-${seed}`, drawPlan(seed, lengthMs)]
  })
}

const pending = plans()
let failed = 0

async function playPlans(): Promise<void> {
  for (let next = pending.shift(); next; next = pending.shift()) {
    const [name, plan] = next
    const dir = join(values.dir, name)
    const { failures, ...figures } = await runSoak(plan, dir)
    if (failures.length > 0) failed++
    const kinds = [...new Set(failures.map(({ promise }) => promise))]
    const verdict = kinds.length === 0 ? 'kept' : `BROKEN ${kinds.join(', ')}`
    console.log(`${name} ${verdict} ${JSON.stringify(figures)}`)
    for (const each of failures.slice(0, 5)) console.log(`  ${JSON.stringify(each)}`)
  }
}

await Promise.all(Array.from({ length: Number(values.parallel) }, playPlans))
console.log(`${failed} plans violated a guarantee; logs: ${values.dir}`)
process.exitCode = failed === 0 ? 0 : 1
