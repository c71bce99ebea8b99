/**
 * A configuration replaces two routes by others of the same host and prefix: one names another
 * service, one the same. Clients then ask for their accepted jobs, send those of the first queue
 * again, which are still one job each, and cancel those of the second.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createClients } from '../lib/clients.mjs'
import { POOLS, configuration, jobId, oneTaskJob, route } from '../lib/configuration.mjs'
import { openRecord } from '../lib/record.mjs'
import { BOUNDS, runCase, startSystem } from '../lib/system.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const record = openRecord(fileURLToPath(new URL('record.txt', import.meta.url)))
/** Jobs of each queue. */
const JOBS = 3
const TASK_MS = 8000
/** Slack for the times at which the stand-ins see starts and ends, in ms. */
const SLACK_MS = 500

const BEFORE = [
  route('r-8pjbvk9', '/split/', 'timing-svc'),
  route('r-wyhks8n', '/watch/', 'timing-svc'),
]
const AFTER = [
  route('r-anfqasn', '/split/', 'verify-svc'),
  route('r-ex5wa5x', '/watch/', 'timing-svc'),
]
const lastingJob = {
  spec: JSON.stringify({ ms: 0, cpu: 1000 }),
  steps: [{ count: 1, cpu: 1000, mem_mb: 256, long_running: true }],
}

/** Counts the present runs of each task, and collects the tasks that had two at the same time. */
function watchRuns(watchers) {
  const running = new Map()
  const doubled = new Set()
  watchers.push(({ what, task }) => {
    if (what === 'listed' || what === 'noted') return
    const count = (running.get(task) ?? 0) + (what === 'start' ? 1 : -1)
    running.set(task, count)
    if (count > 1) doubled.add(task)
  })
  return { running, doubled }
}

runCase(async () => {
  const system = await startSystem({
    pools: POOLS,
    configuration: configuration(3, BEFORE),
    record,
  })
  const send = createClients(system, record)
  const numbers = Array.from({ length: JOBS }, (_, number) => number)
  const split = numbers.map((number) => `/split/${jobId(number)}`)
  const watch = numbers.map((number) => `/watch/${jobId(JOBS + number)}`)
  const sendAll = async (method, paths, body) => {
    const answers = []
    for (const path of paths) answers.push(await send(answers.length, method, path, body))
    return answers
  }
  const { running, doubled } = watchRuns(system.watchers)
  try {
    const accepted = [
      ...(await sendAll('POST', split, oneTaskJob(TASK_MS))),
      ...(await sendAll('POST', watch, lastingJob)),
    ]
    if (accepted.some(({ status }) => status !== 200)) return 2
    await sleep(1000)
    if (isTrouble) {
      system.platform.putConfiguration(configuration(7, AFTER))
      record('operator: configuration 7: r-anfqasn and r-ex5wa5x in place of the others')
    }
    await sleep(Math.max(BOUNDS.configApplyMs, BOUNDS.visibleMs) + SLACK_MS)
    const states = await sendAll('GET', [...split, ...watch])
    const unknown = states.filter(({ status }) => status === 410).length
    await sendAll('POST', split, oneTaskJob(TASK_MS))
    const cancels = await sendAll('DELETE', watch)
    await sleep(BOUNDS.cancelMs + BOUNDS.stopMs + SLACK_MS)
    const left = numbers.filter(
      (number) => running.get(`${jobId(JOBS + number)}.0.0.0`) > 0,
    )
    await sendAll('GET', watch)
    await sleep(TASK_MS)
    await sendAll('GET', split)
    const answers = cancels.map(({ status }) => status).join(' ')
    const isUnasked = left.length > 0 && cancels.every(({ status }) => status !== 0)
    const verdicts = {
      TWICE: doubled.size > 0 && `two runs at the same time of ${[...doubled].join(' ')}`,
      LOST: unknown > 0 && `410 for ${unknown} accepted jobs`,
      UNASKED:
        isUnasked && `${left.length} cancelled jobs run on; DELETE gave ${answers}`,
    }
    for (const [rule, breach] of Object.entries(verdicts))
      record(`${rule} ${breach ? `broken: ${breach}` : 'held'}`)
    return doubled.size > 0 ? 1 : 0
  } finally {
    await system.stop()
  }
})
