/**
 * Two short soaks of restarts of targets under their ids, beside frozen nodes, late links and nodes
 * without the store. Guards against orders that outlive the target that they were sent to.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, itAlone } from '../../test/describe.js'
import { drawRestartPlan } from '../soak/plan.js'
import { runSoak } from '../soak/run.js'

const SEEDS = [203, 210]
const LENGTH_MS = 10_000

describe('nodes beside targets that restart', () => {
  for (const seed of SEEDS) {
    itAlone(`keep every promise: seed ${seed}`, async (t) => {
      const dir = mkdtempSync(join(tmpdir(), 'rillshunt-soak-'))
      const { failures } = await runSoak(drawRestartPlan(seed, LENGTH_MS), dir)
      t.deepEqual(failures, [], `logs: ${dir}`)
    })
  }
})
