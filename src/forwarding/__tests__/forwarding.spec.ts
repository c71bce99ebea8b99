import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { itInVirtualTime, runToEnd } from '../../../test/virtualTime.js'
import { createBusyNodes } from '../../../test/busyNodes.js'
import type { BusyNodes, NodeFaults } from '../../../test/busyNodes.js'
import { createJobRig, findGuaranteeViolation, makeJob } from '../../../test/jobRig.js'
import type { JobRig } from '../../../test/jobRig.js'
import { monotonicMs, sleep } from '../../shared/index.js'

const CAPACITY = { cpu: 8000, memMb: 64_000, gpu: 0 }
const TARGETS = 30
const NODES = 3
const COSTS = { startMs: 0.2, reportMs: 0.2 }
const TASK = { ms: 300, cpu: 1000 }
/** Time within which a lost owner or forwarder must have a successor, in ms. */
const TAKEOVER_MS = 1200
/** Time for the choice of forwarders, in ms. */
const CHOICE_MS = 600

interface Setup {
  rig: JobRig
  nodes: BusyNodes
}

/** Starts an owner that always calls its targets through other nodes. */
async function startForwarding() {
  const rig = createJobRig()
  const opts = { costs: COSTS, others: NODES, askFromShare: 0, log: rig.log }
  const nodes = createBusyNodes({ orders: rig.orders, ...opts })
  rig.orders = nodes.orders
  for (let count = 0; count < TARGETS; count++)
    rig.addTarget(`t${count}`, { capacity: CAPACITY })
  const owner = await rig.startOwner()
  await sleep(CHOICE_MS)
  return { rig, nodes, owner }
}

async function stop({ rig, nodes }: Setup): Promise<void> {
  await rig.stop()
  nodes.stop()
}

const startedTasks = ({ ledger }: JobRig): number =>
  new Set(ledger.entries.filter(({ what }) => what === 'start').map(({ task }) => task))
    .size

/** Faults of a forwarder, by what happens to its node. */
const FAULTS: Record<string, Partial<NodeFaults>> = {
  'has ended': { isDown: true },
  'answers nothing': { isMute: true },
  'is frozen for a while': { lateMs: 3000 },
  'runs an earlier build': { isEarlierBuild: true },
  'does not reach the targets': { isCutOff: true },
}

/** Has jobs run while the other nodes fail, and checks that all tasks start in time, once. */
async function runWithout(
  t: ExecutionContext,
  faults: Partial<NodeFaults>,
): Promise<void> {
  const setup = await startForwarding()
  const { rig, nodes, owner } = setup
  t.true(nodes.forwarders() > 0)
  const early = Array.from({ length: 10 }, () => makeJob(TASK, [{ count: 6 }]))
  for (const job of early) rig.submit(owner, job)
  await sleep(50)
  for (const node of nodes.others) Object.assign(node.faults, faults)
  const late = Array.from({ length: 10 }, () => makeJob(TASK, [{ count: 6 }]))
  const failedAt = monotonicMs()
  for (const job of late) rig.submit(owner, job)
  const jobs = [...early, ...late]
  while (startedTasks(rig) < 6 * jobs.length && monotonicMs() - failedAt < 5000)
    await sleep(10)
  const startedMs = Math.round(monotonicMs() - failedAt)
  t.log({ startedMs })
  t.true(startedMs <= TAKEOVER_MS)
  t.true(await rig.waitForOutcomes(jobs, 3000))
  t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
  await sleep(2000)
  t.is(findGuaranteeViolation(rig.ledger), undefined)
  await stop(setup)
}

describe('calls to targets through other nodes', () => {
  it('start and follow tasks like direct calls', async (t) => {
    const setup = await startForwarding()
    t.teardown(() => stop(setup))
    const { rig, nodes, owner } = setup
    t.true(nodes.forwarders() > 0)
    const jobs = Array.from({ length: 20 }, () =>
      makeJob(TASK, [{ count: 4 }, { count: 2, after: [0] }]),
    )
    for (const job of jobs) rig.submit(owner, job)
    t.true(await rig.waitForOutcomes(jobs, 4000))
    t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
    t.is(findGuaranteeViolation(rig.ledger), undefined)
    t.deepEqual(
      rig.log.events.filter(({ name }) => name === 'forwarderLost'),
      [],
    )
  })

  it('stop tasks of a cancelled job', async (t) => {
    const setup = await startForwarding()
    t.teardown(() => stop(setup))
    const { rig, owner } = setup
    const job = makeJob({ ms: 60_000, cpu: 1000 }, [{ count: 6 }])
    rig.submit(owner, job)
    await sleep(500)
    owner.cancel(job.id)
    t.true(await rig.waitForOutcomes([job], 1000))
    await sleep(1000)
    const order = { token: Infinity, lastSeen: 0, untilMs: undefined }
    const left = [...rig.targets.values()].flatMap((each) => each.sync(order)?.runs ?? [])
    t.deepEqual(left, [])
  })

  describe('when a node that makes them', () => {
    for (const [title, faults] of Object.entries(FAULTS)) {
      itInVirtualTime(
        `${title}, go on without it within the time of a takeover`,
        (t, clock) => runToEnd(clock, runWithout(t, faults)),
      )
    }

    it('is replaced, forgets no end of a run', async (t) => {
      const setup = await startForwarding()
      t.teardown(() => stop(setup))
      const { rig, nodes, owner } = setup
      const jobs = Array.from({ length: 20 }, () => makeJob(TASK, [{ count: 4 }]))
      for (const job of jobs) rig.submit(owner, job)
      for (let round = 0; round < 4; round++) {
        await sleep(100)
        for (const node of nodes.others) node.restart()
      }
      t.true(await rig.waitForOutcomes(jobs, 4000))
      t.true(jobs.every((job) => rig.outcomeOf(job) === 'completed'))
      t.is(findGuaranteeViolation(rig.ledger), undefined)
    })
  })
})
