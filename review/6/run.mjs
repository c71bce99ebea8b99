/** One recurring job whose progress outgrows a row of the store, and the other jobs beside it. */
import { hasTrouble, runCase } from '../lib-4/case.mjs'
import { newId, route, startDeployment } from '../lib-4/deployment.mjs'
import { now, sleep } from '../lib-4/http.mjs'

/** Five steps of one task; without the trouble a tenth of the repetitions. */
const STEPS = 5
const REPETITIONS = hasTrouble ? 2000 : 200
const INTERVAL_MS = 40
const TRAFFIC_MS = 75_000
const PAUSE_MS = 2500
const FINISH_MS = 14_000
/** Share of the listed ends that must be taken note of. */
const MIN_NOTED = 0.8
const COUNT_MS = 5000

runCase(import.meta.url, async ({ record, onEnd }) => {
  const deployment = await startDeployment({
    services: [{ name: 'timing', admission_check: true }],
    routes: [route('recurring', 'timing'), route('quick', 'timing')],
    minions: { timing: 4 },
    record,
  })
  onEnd(deployment.close)
  const { log, store } = deployment
  const countOf = (what) => log.filter((entry) => entry.what === what).length

  const id = newId()
  const step = { count: 1, cpu: 100, mem_mb: 16, estimated_ms: 20 }
  const recurring = {
    spec: JSON.stringify({ ms: 20, cpu: 100 }),
    steps: Array.from({ length: STEPS }, () => step),
    repetitions: REPETITIONS,
    start_at_ms: Date.now() + 1000,
    interval_ms: INTERVAL_MS,
  }
  const dueAt = now() + 1000
  const answer = await deployment.submit('recurring', id, recurring)
  record('recurring job handed in', {
    id,
    steps: STEPS,
    repetitions: REPETITIONS,
    ...answer,
  })
  const counting = setInterval(
    () =>
      record('runs so far', {
        started: countOf('start'),
        ended: countOf('end'),
        noted: countOf('noted'),
        refusedWrites: store.tooLarge(),
      }),
    COUNT_MS,
  )
  onEnd(() => clearInterval(counting))

  const sent = []
  const beganAt = now()
  for (let index = 0; now() - beganAt < TRAFFIC_MS; index++) {
    const jobId = newId()
    const job = {
      spec: JSON.stringify({ ms: 200, cpu: 500 }),
      steps: [{ count: 2, cpu: 500, mem_mb: 64, estimated_ms: 200 }],
    }
    const { isAccepted, statuses } = await deployment.submit('quick', jobId, job, {
      first: index,
    })
    record('job handed in', { id: jobId, statuses })
    if (isAccepted) sent.push(jobId)
    await sleep(PAUSE_MS)
  }
  record('the traffic has ended')
  await sleep(FINISH_MS)

  const states = await Promise.all(sent.map((each) => deployment.stateOf('quick', each)))
  for (const [index, jobId] of sent.entries()) {
    const runs = log.filter(
      ({ what, task }) => what !== 'noted' && task.startsWith(jobId),
    )
    const shown = runs.map(({ what, task, how }) => `${task.slice(17)} ${how ?? what}`)
    record('job', { id: jobId, state: states[index], runs: shown })
  }
  const open = states.filter((state) => state !== 'completed').length
  const ended = log.filter(({ what }) => what === 'end')
  const noted = countOf('noted')
  const due = Math.min(REPETITIONS, Math.floor((now() - dueAt) / INTERVAL_MS)) * STEPS
  const begun = log.filter(
    ({ what, task }) => what === 'start' && task.startsWith(id),
  ).length
  const running = deployment
    .minionsOf('timing')
    .flatMap((each) => [...each.running.keys()])
  const state = await deployment.stateOf('recurring', id)
  record('in the end', { state, due, begun, running, ended: ended.length, noted, open })
  const isUnnoted = noted < ended.length * MIN_NOTED
  return isUnnoted
    ? `of ${ended.length} ends ${noted} were taken note of; of ${due} due tasks of the recurring job ${begun} began, and ${open} of ${sent.length} other accepted jobs are not shown as completed`
    : undefined
})
