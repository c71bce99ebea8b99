/**
 * A short soak: node processes under faults drawn from seeds, and kept plans under which a
 * guarantee was violated before. Each kept plan states the cause in one line; its faults are
 * never changed.
 */
import { mkdtempSync, readdirSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from '../../test/describe.js'
import { drawPlan, readPlan } from '../soak/plan.js'
import { runSoak } from '../soak/run.js'

const SEEDS = [1, 3, 7]
const LENGTH_MS = 20_000
const KEPT = 'playground/soak/kept'

describe('nodes under faults', () => {
  const plans = new Map(SEEDS.map((seed) => [`seed ${seed}`, drawPlan(seed, LENGTH_MS)]))
  for (const file of readdirSync(KEPT)) plans.set(file, readPlan(join(KEPT, file)))

  for (const [name, plan] of plans) {
    it(`keep every promise: ${name}`, async (t) => {
      const dir = mkdtempSync(join(tmpdir(), 'rillshunt-soak-'))
      const { failures } = await runSoak(plan, dir)
      t.deepEqual(failures, [], `logs: ${dir}`)
    })
  }
})
