/** One recurring job, and what becomes of the processes and of the other callers. */
import { hasTrouble, runCase } from '../lib-4/case.mjs'
import { newId, route, startDeployment } from '../lib-4/deployment.mjs'
import { now, sleep } from '../lib-4/http.mjs'

/** Twenty tasks every minute, for six days; without the trouble six times. */
const TASKS = 20
const REPETITIONS = hasTrouble ? 8640 : 6
const INTERVAL_MS = 60_000
const TRAFFIC_MS = 60_000
const PAUSE_MS = 400
/** Ends of one process, and number of such machines, from which the day counts 0. */
const MAX_ENDS = 3
const MAX_MACHINES = 2

runCase(import.meta.url, async ({ record, onEnd }) => {
  const deployment = await startDeployment({
    services: [
      { name: 'timing', admission_check: true },
      { name: 'verify', admission_check: true },
      { name: 'misc', admission_check: true, spare: true },
    ],
    routes: [route('nightly', 'timing'), route('quick', 'verify')],
    minions: { timing: 8, verify: 8, misc: 2 },
    record,
  })
  onEnd(deployment.close)
  const { nodes, log } = deployment

  const id = newId()
  const recurring = {
    spec: JSON.stringify({ ms: 100, cpu: 500 }),
    steps: [{ count: TASKS, cpu: 500, mem_mb: 256, estimated_ms: 100 }],
    repetitions: REPETITIONS,
    start_at_ms: Date.now() + 2000,
    interval_ms: INTERVAL_MS,
  }
  const answer = await deployment.submit('nightly', id, recurring)
  record('recurring job handed in', {
    id,
    tasks: TASKS,
    repetitions: REPETITIONS,
    ...answer,
  })
  if (!answer.isAccepted) return undefined

  // Ordinary jobs of the other queue, whose service has other minions.
  const sent = []
  const beganAt = now()
  for (let index = 0; now() - beganAt < TRAFFIC_MS; index++) {
    const job = {
      spec: JSON.stringify({ ms: 200, cpu: 500 }),
      steps: [{ count: 2, cpu: 500, mem_mb: 256, estimated_ms: 200 }],
    }
    const jobId = newId()
    const { isAccepted, statuses } = await deployment.submit('quick', jobId, job, {
      first: index,
    })
    sent.push({ id: jobId, isAccepted })
    record('job handed in', { id: jobId, statuses })
    await sleep(PAUSE_MS)
  }
  const startsOf = (jobId) =>
    log.filter(({ what, task }) => what === 'start' && task.startsWith(jobId)).length
  for (const each of sent) record('job', { ...each, starts: startsOf(each.id) })
  record('recurring job', {
    starts: startsOf(id),
    state: await deployment.stateOf('nightly', id),
  })
  const ends = nodes.map(({ name, ends: count }) => ({ name, count }))
  const late = sent.slice(-20)
  const servedLate = late.filter((each) => startsOf(each.id) > 0).length
  record('ends of processes', { ends, lateJobs: late.length, servedLate })
  const isBroken = ends.filter(({ count }) => count >= MAX_ENDS).length >= MAX_MACHINES
  return isBroken
    ? `processes ended by themselves: ${ends.map(({ name, count }) => `${name} ${count} times`).join(', ')}; of the last ${late.length} jobs of the other queue ${servedLate} began`
    : undefined
})
