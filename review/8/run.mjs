/** Many queues get their first jobs while the part of the store of their service is away. */
import { hasTrouble, runCase } from '../lib-4/case.mjs'
import { newId, route, startDeployment } from '../lib-4/deployment.mjs'
import { now, sleep } from '../lib-4/http.mjs'

const SERVICE = 'timing'
const QUEUES = 200
/** First jobs of queues, and the pause between two of them, in ms. */
const FIRST_JOBS = 160
const PAUSE_MS = 30
const DOWN_MS = 4500
const TASK_MS = 300
const FINISH_MS = 14_000

const JOB = {
  spec: JSON.stringify({ ms: TASK_MS, cpu: 500 }),
  steps: [{ count: 1, cpu: 500, mem_mb: 64, estimated_ms: TASK_MS }],
}

runCase(import.meta.url, async ({ record, onEnd }) => {
  const queues = Array.from({ length: QUEUES }, (_, number) => `queue-${number}`)
  const deployment = await startDeployment({
    services: [{ name: SERVICE, admission_check: true }],
    routes: queues.map((queue) => route(queue, SERVICE)),
    minions: { [SERVICE]: 8 },
    record,
  })
  onEnd(deployment.close)
  const { log, store } = deployment
  const startsOf = (id) =>
    log.filter(({ what, task }) => what === 'start' && task.startsWith(id)).length

  const jobs = []
  async function handIn(number) {
    const id = newId()
    const { isAccepted, statuses } = await deployment.submit(queues[number], id, JOB, {
      first: number,
    })
    record('job handed in', { queue: queues[number], id, statuses })
    if (isAccepted) jobs.push({ id, queue: queues[number] })
  }

  await handIn(0)
  await sleep(3000)
  if (startsOf(jobs[0].id) === 0)
    throw new Error('a job of the first queue has not begun')
  if (hasTrouble) {
    store.busyParts.add(SERVICE)
    record('a part of the store is down', { part: SERVICE })
    setTimeout(() => {
      store.busyParts.delete(SERVICE)
      record('the part is back', { part: SERVICE })
    }, DOWN_MS)
  }
  const sent = []
  for (let number = 1; number <= FIRST_JOBS; number++) {
    sent.push(handIn(number))
    await sleep(PAUSE_MS)
  }
  await Promise.all(sent)
  await sleep(hasTrouble ? DOWN_MS : 0)
  // A queue that the service has not had a job of before, and one whose jobs have run.
  await handIn(FIRST_JOBS + 1)
  await handIn(0)
  const handedInAt = now()
  await sleep(FINISH_MS)

  for (const { what, task, minion, how } of log.filter(({ what }) => what !== 'noted'))
    record(what, { task, minion, how })
  const waiting = jobs.filter(({ id }) => startsOf(id) === 0)
  const states = await Promise.all(
    waiting.slice(0, 5).map(({ queue, id }) => deployment.stateOf(queue, id)),
  )
  const busy = deployment.minionsOf(SERVICE).filter(({ running }) => running.size > 0)
  record('in the end', {
    accepted: jobs.length,
    waiting: waiting.length,
    states,
    busyMinions: busy.length,
    refusedWrites: store.tooLarge(),
  })
  const seconds = Math.round((now() - handedInAt) / 1000)
  return waiting.length > 0 && busy.length === 0
    ? `${waiting.length} of ${jobs.length} accepted jobs have not begun ${seconds} s after the last one, while all minions are idle`
    : undefined
})
