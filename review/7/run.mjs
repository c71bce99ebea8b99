/**
 * A task fails while the answer to an order for another task is lost, and an answer that was on its
 * way before arrives after the news of the failure.
 */
import { hasTrouble, runCase } from '../lib-4/case.mjs'
import { newId, route, startDeployment } from '../lib-4/deployment.mjs'
import { now, sleep } from '../lib-4/http.mjs'

/** Time that an answer to `/hold` takes on its way, in ms. */
const MIN_DELAY_MS = 50
const MAX_DELAY_MS = 95
/** One answer of 40 is lost, for 5.5 s, on one minion of three. */
const LOST_ONE_OF = 40
const LOST_FOR_MS = 5500
const LONG_TASKS = 6
const LONG_MS = 8000
const SHORT_JOBS = 40
const FINISH_MS = 14_000
/** Time for which nothing of the job may run while there is room, with the calm before it. */
const CALM_MS = 7000

const delayMs = () => MIN_DELAY_MS + Math.random() * (MAX_DELAY_MS - MIN_DELAY_MS)

runCase(import.meta.url, async ({ record, onEnd }) => {
  const deployment = await startDeployment({
    services: [{ name: 'timing', admission_check: true }],
    routes: [route('quick', 'timing'), route('long', 'timing', { priority: 1 })],
    minions: { timing: 3 },
    record,
  })
  onEnd(deployment.close)
  const { log } = deployment

  const longId = newId()
  const long = {
    spec: JSON.stringify({ ms: LONG_MS, cpu: 14_000 }),
    steps: [{ count: LONG_TASKS, cpu: 14_000, mem_mb: 256, estimated_ms: LONG_MS }],
  }
  record('long job handed in', {
    id: longId,
    ...(await deployment.submit('long', longId, long)),
  })
  await sleep(1500)

  const [minion] = deployment.minionsOf('timing')
  const beganAt = now()
  let orders = 0
  let highestToken = 0
  let failed
  /** Lets the first task of the long job on this minion fail, as tasks now and then do. */
  function failOne() {
    const run = [...minion.running.values()].find(({ task }) => task.startsWith(longId))
    if (failed || !run) return
    failed = run.task
    minion.end(run, 'failed')
    record('a task fails by its own fault', { task: failed, run: run.run })
  }
  const isLosing = () => hasTrouble && now() - beganAt < LOST_FOR_MS
  minion.behave = (path, { task, fencing_token: token }) => {
    const isRaised = highestToken > 0 && token > highestToken
    highestToken = Math.max(highestToken, token)
    if (path === '/hold' && !isRaised) return { delayAnswerMs: delayMs() }
    if (path === '/hold' && minion.delayedAnswers() > 0) failOne()
    if (path !== '/run-start' || !isLosing() || ++orders % LOST_ONE_OF > 0)
      return undefined
    record('the answer to an order is lost', { task })
    return { loseAnswer: true }
  }
  const lateFailure = setTimeout(failOne, LOST_FOR_MS)
  onEnd(() => clearTimeout(lateFailure))

  const shortIds = []
  for (let index = 0; index < SHORT_JOBS; index++) {
    const id = newId()
    const job = {
      spec: JSON.stringify({ ms: 60, cpu: 500 }),
      steps: [{ count: 60, cpu: 500, mem_mb: 64, estimated_ms: 60 }],
    }
    const { statuses } = await deployment.submit('quick', id, job, { first: index })
    record('short job handed in', { id, statuses })
    shortIds.push(id)
    await sleep(100)
  }
  await sleep(LONG_MS)
  record('the traffic has ended')
  await sleep(FINISH_MS + CALM_MS)

  for (const entry of log.filter(({ task }) => task.startsWith(longId)))
    record('run of the long job', { ...entry, at: Math.round(entry.at) })
  const shortStates = await Promise.all(
    shortIds.map((id) => deployment.stateOf('quick', id)),
  )
  const countDone = shortStates.filter((state) => state === 'completed').length
  record('short jobs', { handedIn: shortIds.length, completed: countDone })
  const state = await deployment.stateOf('long', longId)
  const running = deployment
    .minionsOf('timing')
    .flatMap((each) => [...each.running.keys()])
  record('long job', { state, failed, running })
  const lastEntryAt = Math.max(...log.map(({ at }) => at))
  const idleMs = Math.round(now() - lastEntryAt)
  const isIdle = running.length === 0 && idleMs >= CALM_MS
  return state !== 'completed' && isIdle
    ? `the long job is shown as ${state}; for ${idleMs} ms nothing runs, and task ${failed} is due`
    : undefined
})
