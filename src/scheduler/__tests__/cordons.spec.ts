/**
 * Cordoned data halls: nothing is started there, under failures of targets, owners and the store as
 * well, and the tasks that run there end as they would otherwise.
 */
import { describe, it } from '../../../test/describe.js'
import {
  CAPACITY,
  createJobRig,
  findGuaranteeViolation,
  makeJob,
} from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { sleep } from '../../shared/index.js'
import type { EventName } from '../../shared/index.js'
import { moveUnhealthyRuns } from '../moveUnhealthyRuns.js'
import { UNRESTRICTED_POLICY } from '../placementRules.js'

/** Time in which a start order that was on its way arrives, in ms. */
const IN_FLIGHT_MS = 100
/** Time in which an owner would start ready tasks, in ms. */
const START_MS = 600
/** Longest wait for outcomes on a busy machine, in ms. */
const MAX_WAIT_MS = 10_000

/** Starts an owner with one target in each hall, which have all answered. */
async function startInHalls(halls: string[]) {
  const rig = createJobRig()
  for (const hall of halls) rig.addTarget(`t-${hall}`, { hall })
  const owner = await rig.startOwner()
  await waitFor(() => eventsOf(rig, 'targetHeard').length === halls.length)
  return { rig, owner }
}

const startsOn = (rig: JobRig, target: string, since = -Infinity) =>
  rig.ledger.entries.filter(
    ({ what, target: where, at }) => what === 'start' && where === target && at > since,
  )

const eventsOf = ({ log }: JobRig, event: EventName) =>
  log.events.filter(({ name }) => name === event).map(({ fields }) => fields)

async function waitFor(condition: () => boolean): Promise<boolean> {
  const endsAt = performance.now() + MAX_WAIT_MS
  while (!condition() && performance.now() < endsAt) await sleep(20)
  return condition()
}

describe('cordoned data halls', () => {
  it('get no tasks; the others take them', async (t) => {
    const { rig, owner } = await startInHalls(['h1', 'h2'])
    rig.setCordoned('h1', true)
    const jobs = [1, 2, 3].map(() => makeJob({ ms: 30, cpu: 900 }, [{ count: 3 }]))
    for (const job of jobs) rig.submit(owner, job)
    t.true(await rig.waitForOutcomes(jobs, MAX_WAIT_MS))
    t.deepEqual(startsOn(rig, 't-h1'), [])
    t.is(startsOn(rig, 't-h2').length, 9)
    await rig.stop()
  })

  it('let their tasks finish, and lasting ones go on', async (t) => {
    const { rig, owner } = await startInHalls(['h1'])
    const finite = makeJob({ ms: 500, cpu: 400 })
    const lasting = makeJob({ ms: 0, cpu: 400 }, [{ count: 1, lasting: true }])
    for (const job of [finite, lasting]) rig.submit(owner, job)
    t.true(await waitFor(() => startsOn(rig, 't-h1').length === 3))
    rig.setCordoned('h1', true)
    rig.addTarget('t-h2', { hall: 'h2' })
    t.true(await rig.waitForOutcomes([finite], MAX_WAIT_MS))
    await sleep(START_MS)
    t.is(rig.outcomeOf(finite), 'completed')
    t.is(rig.ledger.entries.length, 5)
    t.deepEqual(startsOn(rig, 't-h2'), [])
    t.deepEqual(eventsOf(rig, 'lastingMoved'), [])
    await rig.stop()
  })

  it('take tasks again as soon as the cordon is lifted, however often', async (t) => {
    const { rig, owner } = await startInHalls(['h1'])
    for (let each = 0; each < 3; each++) {
      rig.setCordoned('h1', true)
      rig.setCordoned('h1', true)
      const job = makeJob({ ms: 20, cpu: 400 })
      rig.submit(owner, job)
      await sleep(START_MS)
      t.is(startsOn(rig, 't-h1').length, 2 * each)
      rig.setCordoned('h1', false)
      t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
    }
    await rig.stop()
  })

  it('do nothing where no target is', async (t) => {
    const { rig, owner } = await startInHalls(['h1'])
    rig.setCordoned('elsewhere', true)
    const job = makeJob({ ms: 20, cpu: 400 })
    rig.submit(owner, job)
    t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
    await rig.stop()
  })

  it('are named as the reason of a wait, which is not a stall', async (t) => {
    const { rig, owner } = await startInHalls(['h1', 'h2'])
    rig.setCordoned('h1', true)
    rig.setCordoned('h2', true)
    const job = makeJob({ ms: 20, cpu: 400 })
    rig.submit(owner, job)
    await sleep(3000)
    const waits = eventsOf(rig, 'taskWaits')
    t.true(waits.length > 0)
    t.like(waits.at(-1), {
      hold: 'cordoned',
      targets: '{"cordoned":2}',
      couldRunOn: 0,
    })
    t.like(owner.explain(job.id), { holds: { cordoned: 2 }, couldRunOn: 0 })
    t.deepEqual(eventsOf(rig, 'jobStalled'), [])
    t.is(rig.outcomeOf(job), undefined)
    rig.setCordoned('h2', false)
    t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
    t.deepEqual(startsOn(rig, 't-h1'), [])
    await rig.stop()
  })

  describe('cordon that comes while starts are ordered', () => {
    it('undoes queued starts, which run in other halls', async (t) => {
      const { rig, owner } = await startInHalls(['h1'])
      const slow = rig.targets.get('t-h1')!
      slow.faults.delayMs = 150
      const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 8 }])
      rig.submit(owner, job)
      t.true(await waitFor(() => startsOn(rig, 't-h1').length > 0))
      const at = performance.now()
      rig.setCordoned('h1', true)
      rig.addTarget('t-h2', { hall: 'h2' })
      t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
      t.deepEqual(startsOn(rig, 't-h1', at + IN_FLIGHT_MS), [])
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    // The order is still on its way, and must not be carried out when it arrives.
    it('fences an unanswered start, whose task then runs elsewhere once', async (t) => {
      const { rig, owner } = await startInHalls(['h1'])
      const { faults } = rig.targets.get('t-h1')!
      faults.lateMs = 800
      const job = makeJob({ ms: 50, cpu: 400 }, [{ count: 1 }])
      rig.submit(owner, job)
      t.true(await waitFor(() => eventsOf(rig, 'taskPlaced').length > 0))
      rig.setCordoned('h1', true)
      rig.addTarget('t-h2', { hall: 'h2' })
      await sleep(IN_FLIGHT_MS)
      faults.lateMs = 0
      t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
      await sleep(800)
      t.deepEqual(startsOn(rig, 't-h1'), [])
      t.is(startsOn(rig, 't-h2').length, 1)
      await rig.stop()
    })

    it('keeps a run whose start was carried out but not answered', async (t) => {
      const { rig, owner } = await startInHalls(['h1'])
      const { faults } = rig.targets.get('t-h1')!
      faults.mute = true
      const job = makeJob({ ms: 700, cpu: 400 }, [{ count: 1 }])
      rig.submit(owner, job)
      t.true(await waitFor(() => startsOn(rig, 't-h1').length > 0))
      rig.setCordoned('h1', true)
      rig.addTarget('t-h2', { hall: 'h2' })
      await sleep(IN_FLIGHT_MS)
      faults.mute = false
      t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
      t.is(rig.ledger.entries.length, 2)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })
  })

  describe('owner that takes over in a cordoned fleet', () => {
    it('adopts the runs there, lets them finish and starts nothing there', async (t) => {
      const { rig, owner: first } = await startInHalls(['h1', 'h2'])
      rig.setCordoned('h2', true)
      const inherited = makeJob({ ms: 1500, cpu: 400 })
      rig.submit(first, inherited)
      t.true(await waitFor(() => startsOn(rig, 't-h1').length === 2))
      rig.setCordoned('h1', true)
      rig.setCordoned('h2', false)
      first.live = false
      const second = await rig.startOwner()
      const job = makeJob({ ms: 30, cpu: 400 })
      rig.submit(second, job)
      t.true(await rig.waitForOutcomes([inherited, job], MAX_WAIT_MS))
      t.is(startsOn(rig, 't-h1').length, 2)
      t.is(startsOn(rig, 't-h2').length, 2)
      t.is(findGuaranteeViolation(rig.ledger), undefined)
      await rig.stop()
    })

    it('starts inherited tasks only where it may', async (t) => {
      const { rig, owner: first } = await startInHalls(['h1', 'h2'])
      rig.setCordoned('h1', true)
      rig.setCordoned('h2', true)
      const job = makeJob({ ms: 30, cpu: 400 }, [{ count: 6 }])
      rig.submit(first, job)
      first.live = false
      await rig.startOwner()
      await sleep(START_MS)
      t.deepEqual(rig.ledger.entries, [])
      rig.setCordoned('h2', false)
      t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
      t.deepEqual(startsOn(rig, 't-h1'), [])
      await rig.stop()
    })
  })

  describe('steps that ask for certain targets', () => {
    it('go on with those of the remaining halls', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t-h1', { hall: 'h1', labels: ['gpu', 'r1-1'] })
      for (const each of [2, 3, 4])
        rig.addTarget(`t-h${each}`, { hall: 'h2', labels: ['gpu', 'r2-1'] })
      const owner = await rig.startOwner()
      rig.setCordoned('h1', true)
      const task = { ms: 30, cpu: CAPACITY.cpu / 2 }
      const jobs = [
        makeJob(task, [{ count: 3, gang: true, maxPerTarget: 1 }]),
        makeJob(task, [{ count: 4, gang: true, sameRack: true }]),
        makeJob(task, [{ count: 2, label: 'gpu', dataRack: 'r1-1' }]),
        makeJob(task, [{ count: 6, maxPerTarget: 1 }]),
      ]
      for (const job of jobs) rig.submit(owner, job)
      t.true(await rig.waitForOutcomes(jobs, MAX_WAIT_MS))
      t.deepEqual(startsOn(rig, 't-h1'), [])
      await rig.stop()
    })

    it('wait if only a cordoned hall has such targets, and start no part of a gang', async (t) => {
      const rig = createJobRig()
      rig.addTarget('t-h1', { hall: 'h1', labels: ['gpu'] })
      rig.addTarget('t-h2', { hall: 'h2', labels: [] })
      const owner = await rig.startOwner()
      rig.setCordoned('h1', true)
      const jobs = [
        makeJob({ ms: 30, cpu: 400 }, [{ count: 1, label: 'gpu' }]),
        makeJob({ ms: 30, cpu: 400 }, [{ count: 2, gang: true, maxPerTarget: 1 }]),
      ]
      for (const job of jobs) rig.submit(owner, job)
      await sleep(START_MS)
      t.deepEqual(rig.ledger.entries, [])
      rig.setCordoned('h1', false)
      t.true(await rig.waitForOutcomes(jobs, MAX_WAIT_MS))
      await rig.stop()
    })
  })

  it('stay closed while the store is away, and the other halls go on', async (t) => {
    const { rig, owner } = await startInHalls(['h1', 'h2'])
    rig.setCordoned('h1', true)
    const job = makeJob({ ms: 30, cpu: CAPACITY.cpu }, [{ count: 6 }])
    rig.submit(owner, job)
    t.true(await waitFor(() => startsOn(rig, 't-h2').length > 0))
    rig.table.faults.down = true
    t.true(await waitFor(() => startsOn(rig, 't-h2').length === 6))
    rig.table.faults.down = false
    t.true(await rig.waitForOutcomes([job], MAX_WAIT_MS))
    t.deepEqual(startsOn(rig, 't-h1'), [])
    await rig.stop()
  })

  // A lasting task that is stopped without another place for it is missed for the whole cordon.
  it('are no place for a task that is to leave another hall', async (t) => {
    const { rig, owner } = await startInHalls(['h1'])
    const lasting = makeJob({ ms: 0, cpu: 400 }, [{ count: 1, lasting: true }])
    rig.submit(owner, lasting)
    t.true(await waitFor(() => startsOn(rig, 't-h1').length === 1))
    rig.setCordoned('h2', true)
    rig.addTarget('t-h2', { hall: 'h2' })
    await sleep(START_MS)
    const leave = { evacuate: ['t-h1'], hurry: [], ended: [] }
    owner.evacuate(leave)
    t.deepEqual(eventsOf(rig, 'lastingMoved'), [])
    rig.setCordoned('h2', false)
    t.true(
      await waitFor(() => {
        owner.evacuate(leave)
        return startsOn(rig, 't-h2').length === 1
      }),
    )
    await rig.stop()
  })

  // Otherwise the run is lost, as it cannot start again at the place where it was stopped.
  it('are no place to start an unhealthy run again', (t) => {
    const stopsOf = (isCordoned: boolean): number => {
      let stops = 0
      const agent = {
        target: { id: 't1' },
        isCordoned: () => isCordoned,
        isUsable: () => false,
        stop: () => void stops++,
      }
      const run = {
        agent,
        placement: { name: 'task', state: 'running', percent: 0 },
        task: { startedAt: 0 },
        mayRestartInPlace: true,
      }
      moveUnhealthyRuns({
        agents: [agent],
        health: {
          sweep: () => [run],
          standingOf: () => 'suspect',
          noteMoved: () => undefined,
        },
        starter: { policyNow: () => UNRESTRICTED_POLICY },
        log: { event: () => undefined },
      } as unknown as Parameters<typeof moveUnhealthyRuns>[0])
      return stops
    }
    t.is(stopsOf(true), 0)
    t.is(stopsOf(false), 1)
  })
})
