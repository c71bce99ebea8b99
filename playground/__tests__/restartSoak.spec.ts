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
/** Promise that is checked by a test of its own, as it does not concern what runs twice. */
const STOOD_STILL = 'stood still'

/** Plays a plan once, for all tests of its seed. */
function createPlay(seed: number) {
  const dir = mkdtempSync(join(tmpdir(), 'rillshunt-soak-'))
  let result: ReturnType<typeof runSoak> | undefined
  return {
    dir,
    failures: async () => {
      result ??= runSoak(drawRestartPlan(seed, LENGTH_MS), dir)
      return (await result).failures
    },
  }
}

describe('nodes beside targets that restart', () => {
  for (const seed of SEEDS) {
    const { dir, failures } = createPlay(seed)
    itAlone(`keep every other promise: seed ${seed}`, async (t) => {
      const found = (await failures()).filter(({ promise }) => promise !== STOOD_STILL)
      t.deepEqual(found, [], `logs: ${dir}`)
    })

    itAlone(`let no job stand still: seed ${seed}`, async (t) => {
      const found = (await failures()).filter(({ promise }) => promise === STOOD_STILL)
      t.deepEqual(found, [], `logs: ${dir}`)
    })
  }
})
