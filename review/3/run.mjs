/**
 * A configuration replaces a route by another one of the same host and prefix that names another
 * service. Clients then ask for their accepted jobs and send them again, which are still one job each.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createClients } from '../lib/clients.mjs'
import { POOLS, configuration, jobId, oneTaskJob, route } from '../lib/configuration.mjs'
import { openRecord } from '../lib/record.mjs'
import { BOUNDS, runCase, startSystem } from '../lib/system.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const record = openRecord(new URL('record.txt', import.meta.url).pathname)
const JOBS = 4
const TASK_MS = 8000

/** Counts the present runs of each task, and collects the tasks that had two at the same time. */
function watchDoubledTasks(watchers) {
  const running = new Map()
  const doubled = new Set()
  watchers.push(({ what, task }) => {
    if (what === 'listed' || what === 'noted') return
    const count = (running.get(task) ?? 0) + (what === 'start' ? 1 : -1)
    running.set(task, count)
    if (count > 1) doubled.add(task)
  })
  return doubled
}

runCase(async () => {
  const system = await startSystem({
    pools: POOLS,
    configuration: configuration(3, [route('r-8pjbvk9', '/split/', 'timing-svc')]),
    record,
  })
  const send = createClients(system, record)
  const ids = Array.from({ length: JOBS }, (_, number) => jobId(number))
  const sendAll = async (method, body) => {
    const answers = []
    for (const [number, id] of ids.entries())
      answers.push(await send(number + answers.length, method, `/split/${id}`, body))
    return answers
  }
  const doubled = watchDoubledTasks(system.watchers)
  try {
    const accepted = await sendAll('POST', oneTaskJob(TASK_MS))
    if (accepted.some(({ status }) => status !== 200)) return 2
    await sleep(1000)
    if (isTrouble) {
      const next = route('r-anfqasn', '/split/', 'verify-svc')
      system.platform.putConfiguration(configuration(7, [next]))
      record('operator: configuration 7: r-anfqasn in place of r-8pjbvk9')
    }
    await sleep(BOUNDS.configApplyMs + 500)
    const states = await sendAll('GET')
    await sendAll('POST', oneTaskJob(TASK_MS))
    await sleep(TASK_MS)
    await sendAll('GET')
    const unknown = states.filter(({ status }) => status === 410).length
    record(`LOST ${unknown > 0 ? `broken: 410 for ${unknown} accepted jobs` : 'held'}`)
    record(`TWICE ${doubled.size > 0 ? `broken: ${[...doubled].join(' ')}` : 'held'}`)
    return doubled.size > 0 ? 1 : 0
  } finally {
    await system.stop()
  }
})
