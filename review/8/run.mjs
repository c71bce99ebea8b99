/** A queue whose policy lets its steps run on a few minions of a service with 34. */
import { hasTrouble, runCase } from '../lib-4/case.mjs'
import { newId, route, startDeployment } from '../lib-4/deployment.mjs'
import { now, sleep } from '../lib-4/http.mjs'
import { TICKET_MS } from '../lib-4/platform.mjs'

const MINIONS = 34
/** Minions on which the policy lets steps run, by number; the first one is lost for good. */
const ALLOWED = [5, 31, 32, 33]
const ENTRY_GOES_AFTER_MS = 4500
const TASK_MS = 500
const JOBS = 4
const FINISH_MS = 14_000

runCase(import.meta.url, async ({ record, onEnd }) => {
  const allowed = new Set()
  const advice = { decideMs: 50, eachMs: 2 }
  const times = {
    decide_ms: advice.decideMs,
    each_ms: advice.eachMs,
    valid_ms: TICKET_MS,
  }
  const deployment = await startDeployment({
    services: [{ name: 'timing', admission_check: true }],
    routes: [route('checked', 'timing', { advice: times })],
    minions: { timing: MINIONS },
    isAllowed: (id) => allowed.has(id),
    advice,
    record,
  })
  onEnd(deployment.close)
  const { log } = deployment
  const minions = deployment.minionsOf('timing')
  for (const index of ALLOWED) allowed.add(minions[index].id)
  record('the policy lets steps run on', [...allowed])

  const handIn = async (phase) => {
    const ids = []
    for (let index = 0; index < JOBS; index++) {
      const id = newId()
      const job = {
        spec: JSON.stringify({ ms: TASK_MS, cpu: 1000 }),
        steps: [{ count: 2, cpu: 1000, mem_mb: 64, estimated_ms: TASK_MS }],
      }
      const answer = await deployment.submit('checked', id, job, { first: index })
      record(`job handed in ${phase}`, { id, ...answer })
      if (answer.isAccepted) ids.push(id)
    }
    return ids
  }
  const before = await handIn('before the loss')
  await sleep(4000)
  if (hasTrouble) {
    minions[ALLOWED[0]].die(ENTRY_GOES_AFTER_MS)
    record('a minion is lost for good', { minion: minions[ALLOWED[0]].id })
  }
  await sleep(2 * ENTRY_GOES_AFTER_MS)
  const after = await handIn('after the loss')
  const handedInAt = now()
  await sleep(FINISH_MS)

  for (const { what, task, minion, how } of log.filter(({ what }) => what !== 'noted'))
    record(what, { task, minion, how })
  const waiting = []
  for (const id of [...before, ...after]) {
    const state = await deployment.stateOf('checked', id)
    const starts = log.filter(({ what, task }) => what === 'start' && task.startsWith(id))
    record('job', { id, state, starts: starts.length })
    if (state !== 'completed' && starts.length === 0) waiting.push(id)
  }
  const free = minions
    .slice(ALLOWED[1])
    .filter(({ running }) => running.size === 0).length
  const seconds = Math.round((now() - handedInAt) / 1000)
  return waiting.length > 0
    ? `${waiting.length} accepted jobs have not begun after ${seconds} s, while ${free} minions that the policy allows are idle`
    : undefined
})
