import { ok } from 'neverthrow'
import { describe, it } from '../../../test/describe.js'
import type { Vm, VmCloud } from '../../ports/index.js'
import { createMemoryLogger, monotonicMs, sleep } from '../../shared/index.js'
import { createLifeCheck } from '../lifeCheck.js'
import type { TargetAgent } from '../types.js'

/** Pause between two looks, in ms; longer than the shortest one between two readings of the list. */
const CHECK_INTERVAL_MS = 260

/** A silent target with a run on it, first heard so long ago. */
function createSilentAgent(id: string, heardForMs: number) {
  const firstReportAt = monotonicMs() - heardForMs
  const agent = {
    target: { id },
    placements: new Map([['task', {}]]),
    isAnswering: () => false,
    isSettled: () => true,
    firstReportAt: () => firstReportAt,
    isGone: false,
    markGone: () => void (agent.isGone = true),
  }
  return agent
}

function createCheck(lives: string[]) {
  const vms = lives.map((targetId) => ({ targetId }) as Vm)
  const cloud = { list: async () => ok(vms) } as unknown as VmCloud
  return createLifeCheck(cloud, createMemoryLogger())
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

describe('life of a silent target', () => {
  describe('that the list of VMs does not show', () => {
    it('is not over at the first reading, which may lack a row', async (t) => {
      t.false(await runChecks(createCheck(['other']), createSilentAgent('t1', 5000), 1))
    })

    it('is over at the second reading when it began long before', async (t) => {
      t.true(await runChecks(createCheck(['other']), createSilentAgent('t1', 5000), 2))
    })

    it('is not over at the second reading when the list may lag behind it', async (t) => {
      t.false(await runChecks(createCheck(['other']), createSilentAgent('t1', 200), 2))
    })

    it('is over after several readings even if it was never heard', async (t) => {
      t.true(
        await runChecks(createCheck(['other']), createSilentAgent('t1', -Infinity), 5),
      )
    })
  })

  describe('that the list shows', () => {
    it('is not over', async (t) => {
      t.false(await runChecks(createCheck(['t1']), createSilentAgent('t1', 5000), 4))
    })
  })
})
