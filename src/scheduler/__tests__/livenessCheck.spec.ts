import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import { listOf } from '../../../test/fixtures.js'
import type { Vm, VmCloud, VmList } from '../../ports/index.js'
import { createMemoryLogger, monotonicMs, sleep } from '../../shared/index.js'
import { createLivenessCheck } from '../livenessCheck.js'
import type { TargetAgent } from '../types.js'

/** Time between two checks, in ms; longer than the shortest time between two reads of the list. */
const CHECK_INTERVAL_MS = 260

/** Creates a silent target with a run, whose first report came `reportedForMs` ago. */
function createSilentAgent(id: string, reportedForMs: number) {
  const firstReportAt = monotonicMs() - reportedForMs
  const agent = {
    target: { id },
    placements: new Map([['task', {}]]),
    isAnswering: () => false,
    isStateKnown: () => true,
    firstReportAt: () => firstReportAt,
    isGone: false,
    markGone: () => void (agent.isGone = true),
  }
  return agent
}

function createCheck(listedIds: string[], more: Partial<VmList> = {}) {
  const vms = listedIds.map((targetId) => ({ targetId }) as Vm)
  const cloud = {
    list: async () => ok({ ...listOf(vms), ...more }),
  } as unknown as VmCloud
  return createLivenessCheck(cloud, createMemoryLogger())
}

async function runChecks(
  check: ReturnType<typeof createCheck>,
  agent: ReturnType<typeof createSilentAgent>,
  times: number,
): Promise<boolean> {
  for (let each = 0; each < times; each++) {
    if (each > 0) await sleep(CHECK_INTERVAL_MS)
    await check.run([agent as unknown as TargetAgent])
  }
  return agent.isGone
}

describe('silent target', () => {
  describe('whose VM is not listed', () => {
    it('is not gone after the first read, which may lack a row', async (t) => {
      t.false(await runChecks(createCheck(['other']), createSilentAgent('t1', 5000), 1))
    })

    it('is gone after the second read if it first reported long before', async (t) => {
      t.true(await runChecks(createCheck(['other']), createSilentAgent('t1', 5000), 2))
    })

    it('is not gone if it answers while the list is read', async (t) => {
      const agent = createSilentAgent('t1', 5000)
      const vms = [{ targetId: 'other' } as Vm]
      let reads = 0
      const cloud = {
        list: async () => {
          if (++reads === 2) agent.isAnswering = () => true
          return ok(listOf(vms))
        },
      } as unknown as VmCloud
      const check = createLivenessCheck(cloud, createMemoryLogger())
      t.false(await runChecks(check, agent, 2))
      t.is(reads, 2)
    })

    // Otherwise its tasks start elsewhere while they run on: the row that no one can read is its own.
    it('is not gone while the list has rows that cannot be read', async (t) => {
      const named = createCheck(['other'], { unreadable: ['m1'] })
      t.false(await runChecks(named, createSilentAgent('t1', 5000), 3))
      const unnamed = createCheck(['other'], { isComplete: false })
      t.false(await runChecks(unnamed, createSilentAgent('t1', 5000), 3))
    })

    it('is not gone after the second read if the list may not show it yet', async (t) => {
      t.false(await runChecks(createCheck(['other']), createSilentAgent('t1', 200), 2))
    })

    it('is gone after several reads even if it never reported', async (t) => {
      t.true(
        await runChecks(createCheck(['other']), createSilentAgent('t1', -Infinity), 5),
      )
    })
  })

  describe('whose VM is listed', () => {
    it('is not gone', async (t) => {
      t.false(await runChecks(createCheck(['t1']), createSilentAgent('t1', 5000), 4))
    })
  })
})
