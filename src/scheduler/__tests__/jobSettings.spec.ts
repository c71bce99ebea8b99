/** Jobs keep the settings that their queue had when they were accepted. */
import { describe, it } from '../../../test/describe.js'
import { QUEUE, createJobRig, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { settingsOfQueue } from '../../jobs/index.js'
import type { JobSpec } from '../../jobs/index.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createJobSettings } from '../jobSettings.js'

const MAX_ATTEMPTS = 3
const SETTINGS = settingsOfQueue({ ...QUEUE, maxAttempts: MAX_ATTEMPTS })
const isFailure = ({ what }: { what: string }): boolean => what === 'failed'

/** Runs a job of one task whose first `failures` runs end as failed; returns its rig. */
async function runJob(
  more: Partial<JobSpec>,
  failures: number,
  isQueueKnown: boolean,
): Promise<{ rig: JobRig; outcome: string | undefined }> {
  const rig = createJobRig()
  rig.isQueueKnown = isQueueKnown
  const target = rig.addTarget('t1')
  const owner = await rig.startOwner()
  const countOf = (kind: string): number =>
    rig.ledger.entries.filter(({ what }) => what === kind).length
  Object.defineProperty(target.faults, 'failsAll', {
    get: () => countOf('failed') < failures,
  })
  const job = makeJob({ ms: 20, cpu: 1000 }, [{ count: 1 }], more)
  rig.submit(owner, job)
  await rig.waitForOutcomes([job], 5000)
  await rig.stop()
  return { rig, outcome: rig.outcomeOf(job) }
}

describe('createJobSettings', () => {
  describe('queue that the configuration does not name', () => {
    // Guards against jobs that fail at their first failed run while their route is removed.
    it('lets a task fail as often as the job was accepted with', async (t) => {
      const { outcome } = await runJob({ settings: SETTINGS }, MAX_ATTEMPTS - 1, false)
      t.is(outcome, 'completed')
    })

    // Guards against jobs without a limit, which would run for ever.
    it('fails a job whose task has used up its attempts', async (t) => {
      const { rig, outcome } = await runJob({ settings: SETTINGS }, MAX_ATTEMPTS, false)
      t.is(outcome, 'failed')
      t.is(rig.ledger.entries.filter(isFailure).length, MAX_ATTEMPTS)
    })

    // Guards against a limit that nobody set, for rows that earlier versions have written.
    it('does not fail a job whose settings are not known', async (t) => {
      const { rig, outcome } = await runJob({}, MAX_ATTEMPTS, false)
      t.is(outcome, 'completed')
      t.true(rig.log.events.some(({ name }) => name === 'jobSettingsUnknown'))
    })
  })

  describe('queue whose settings have changed', () => {
    // Guards against a route of the same name that lowers the attempts of accepted jobs.
    it('runs a job by the settings of its acceptance', async (t) => {
      const { outcome } = await runJob({ settings: SETTINGS }, QUEUE.maxAttempts, true)
      t.is(outcome, 'completed')
    })
  })

  describe('lookup', () => {
    const { id, queue } = makeJob({})
    const configured = { lastKnownQueue: () => QUEUE }
    const advice = { decideMs: 10, eachMs: 1, validMs: 1000 }

    // Guards against starts without a ticket, which targets reject, while a route is removed.
    it('keeps the advice policy and the priority of a job', (t) => {
      const settings = { ...SETTINGS, advice, priority: 7 }
      const found = createJobSettings(configured, createMemoryLogger()).of({
        id,
        queue,
        settings,
      })
      t.like(found, { advice, priority: 7 })
    })

    // Guards against lost attempts of jobs that earlier versions accepted.
    it('uses the last known configuration for a row without settings', (t) => {
      const settings = createJobSettings(configured, createMemoryLogger())
      t.is(settings.maxAttemptsOf({ id, queue }), QUEUE.maxAttempts)
      t.is(settings.sourceOf({ id, queue }), 'configuration')
    })
  })
})
