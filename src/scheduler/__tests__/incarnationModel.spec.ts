import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import { findLifeViolation } from '../../../test/lifeGuarantees.js'
import { LIFE_MODELS } from '../../../test/lives.js'
import { RUNS, SEED, runScenario, stepsOf } from '../../../test/scenarios.js'
import type { Model } from '../../../test/scenarios.js'
import type { LedgerEntry } from '../../../playground/sim/runLedger.js'

/** Longest pause after an action of a scenario, in ms. */
const MAX_WAIT_MS = 400

const TITLES: Record<keyof typeof LIFE_MODELS, string> = {
  direct: 'run no task twice, and lose no job',
  forwarded: 'run no task twice, and lose no job, when called through other nodes',
}

describe('targets that restart while orders to them are late', () => {
  for (const name of ['direct', 'forwarded'] as const) {
    it(TITLES[name], async (t) => {
      const model: Model = LIFE_MODELS[name]
      const steps = stepsOf(model.actions, MAX_WAIT_MS)
      const scenarios = fc.sample(steps, { seed: SEED, numRuns: RUNS })
      const results = await Promise.all(scenarios.map((each) => runScenario(each, model)))
      for (const [index, problem] of results.entries())
        t.is(problem, undefined, JSON.stringify(scenarios[index]))
    })
  }
})

describe('check of the incarnations of a target', () => {
  const entry = (more: Partial<LedgerEntry>): LedgerEntry => ({
    at: 0,
    what: 'start',
    task: 'a',
    run: 1,
    target: 't1',
    lifeStartMs: 1,
    ...more,
  })
  const again = entry({ run: 2, lifeStartMs: 2 })
  const done = entry({ what: 'done' })
  const crashes = [{ at: 0, target: 't1', lifeStartMs: 1 }]

  it('finds a run beside another one on a later incarnation', (t) => {
    t.regex(findLifeViolation({ entries: [entry({}), again] }) ?? '', /goes on/)
  })

  it('finds a start after an end that was acknowledged before a crash', (t) => {
    const entries = [entry({}), { ...done, isNoted: true }, again]
    t.regex(findLifeViolation({ entries, crashes }) ?? '', /was done/)
  })

  it('finds a start after an end on an incarnation that goes on', (t) => {
    t.regex(findLifeViolation({ entries: [entry({}), done, again] }) ?? '', /was done/)
  })

  it('permits a start after a crash that killed the run, or lost its end', (t) => {
    const killed = entry({ what: 'killed' })
    t.is(findLifeViolation({ entries: [entry({}), killed, again], crashes }), undefined)
    t.is(findLifeViolation({ entries: [entry({}), done, again], crashes }), undefined)
  })
})
