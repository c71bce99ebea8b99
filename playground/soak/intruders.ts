/** Calls without a right to an answer: with no key, a wrong or a taken one, or for others' jobs. */
import { sleep } from '../../src/shared/index.js'
import type { Random } from '../random.js'
import type { CallerApi } from './clients.js'
import type { DisturbanceTracker } from './disturbances.js'
import type { JobView } from './jobView.js'
import { isInForce } from './organisations.js'
import type { SoakOrganisations } from './organisations.js'
import type { Report } from './runChecks.js'

/** Interval of the calls, in ms. */
const CALL_INTERVAL_MS = 150
const METHODS = ['POST', 'GET', 'DELETE'] as const

/** Sends calls until the time is over, and reports those that are served. */
export async function runIntruders(opts: {
  api: CallerApi
  organisations: SoakOrganisations
  jobs: ReadonlyMap<string, JobView>
  random: Random
  disturbances: DisturbanceTracker
  report: Report
  lengthMs: number
}): Promise<void> {
  const { api, organisations, jobs, random, disturbances, report } = opts
  const endsAt = performance.now() + opts.lengthMs
  const pick = <T>(items: readonly T[]): T | undefined =>
    items[Math.floor(random() * items.length)]

  async function callWithKey(job: JobView, key: string | undefined): Promise<void> {
    const { status } = await api.call(pick(METHODS)!, job, key)
    if (status === 200) report('served without a key', `${job.id} with ${key}`)
  }

  async function callWithTakenKey(job: JobView): Promise<void> {
    const taken = pick(job.organisation?.takenKeys ?? [])
    if (!taken || !isInForce(taken.at) || !disturbances.isUndisturbed()) return
    const { status } = await api.call('GET', job, taken.key)
    if (status === 200) report('served with a key that was taken away', job.id)
  }

  async function callForForeignJob(job: JobView): Promise<void> {
    const other = pick(organisations.all.filter((each) => each !== job.organisation))
    if (!other) return
    const { status } = await api.call(pick(['GET', 'DELETE'] as const)!, job, other.key)
    if (status === 200) report('served for the job of another organisation', job.id)
  }

  const CALLS: ((job: JobView) => Promise<void>)[] = [
    (job) => callWithKey(job, undefined),
    (job) => callWithKey(job, 'soak-key-never-held'),
    callWithTakenKey,
    callForForeignJob,
  ]
  while (performance.now() < endsAt) {
    const job = pick([...jobs.values()])
    if (job) await pick(CALLS)!(job)
    await sleep(CALL_INTERVAL_MS)
  }
}
