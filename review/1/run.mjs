/**
 * A route is removed by a configuration and added again by a later one while accepted jobs of its
 * queue run. Each task fails once in that time, which is less than its queue's three attempts.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createClients } from '../lib/clients.mjs'
import {
  MAX_ATTEMPTS,
  POOLS,
  configuration,
  jobId,
  oneTaskJob,
  route,
} from '../lib/configuration.mjs'
import { openRecord } from '../lib/record.mjs'
import { BOUNDS, runCase, startSystem } from '../lib/system.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const record = openRecord(fileURLToPath(new URL('record.txt', import.meta.url)))
const JOBS = 4
const TASK_MS = 4000
/** Time for all jobs to end after the last configuration, in ms: many times what they need. */
const END_TIMEOUT_MS = 25_000

const split = route('r-split', '/split/', 'timing-svc')
const video = route('r-video', '/video/', 'verify-svc')

runCase(async () => {
  const system = await startSystem({
    pools: POOLS,
    configuration: configuration(3, [split, video]),
    record,
  })
  const { platform, watchers } = system
  const put = (version, routes) => {
    platform.putConfiguration(configuration(version, routes))
    record(`operator: configuration ${version} with ${routes.map(({ name }) => name)}`)
  }
  const send = createClients(system, record)
  /** Ends `failed` by task, as the minions have listed them. */
  const failures = new Map()
  watchers.push(({ what, task }) => {
    if (what === 'failed') failures.set(task, (failures.get(task) ?? 0) + 1)
  })
  /** Lets the run that starts now on a minion end as `failed` after its run time. */
  const failRun = (id) => {
    const { target } = platform.vms.find((vm) => vm.target?.id === id)
    target.faults.failsAll = true
    queueMicrotask(() => (target.faults.failsAll = false))
  }

  try {
    const ids = Array.from({ length: JOBS }, (_, index) => jobId(index))
    let started = 0
    watchers.push(({ what, run, target }) => {
      if (what !== 'start' || run !== 1) return
      started++
      failRun(target)
    })
    for (const [index, id] of ids.entries()) {
      const answer = await send(index, 'POST', `/split/${id}`, oneTaskJob(TASK_MS))
      if (answer.status !== 200) return 2
    }
    const startsBy = performance.now() + 10_000
    while (started < JOBS && performance.now() < startsBy) await sleep(20)
    if (started < JOBS) return 2

    if (isTrouble) put(7, [video])
    await sleep(TASK_MS + BOUNDS.configApplyMs)
    if (isTrouble) put(12, [split, video])
    await sleep(BOUNDS.configApplyMs + 500)

    const states = new Map()
    const endsAt = performance.now() + END_TIMEOUT_MS
    while (performance.now() < endsAt && states.size < JOBS) {
      for (const [index, id] of ids.entries()) {
        if (states.has(id)) continue
        const { json } = await send(index, 'GET', `/split/${id}`)
        if (['completed', 'failed', 'cancelled'].includes(json?.state))
          states.set(id, json.state)
      }
      await sleep(500)
    }
    let broken = 0
    for (const id of ids) {
      const state = states.get(id) ?? 'not ended'
      const failed = failures.get(`${id}.0.0.0`) ?? 0
      const isLost = state !== 'completed' && failed < MAX_ATTEMPTS
      if (isLost) broken++
      record(
        `job ${id}: ${state}, ${failed} of ${MAX_ATTEMPTS} attempts have ended failed`,
      )
    }
    record(broken > 0 ? `LOST broken: ${broken} of ${JOBS} jobs` : 'LOST held')
    return broken > 0 ? 1 : 0
  } finally {
    await system.stop()
  }
})
