/**
 * Guards against an owner mistaking its own rewritten epoch row for that of another owner. An owner
 * whose lease has expired rewrites the row to check that no other node took over. Before the answer
 * arrives, its progress write is rejected because the row has a newer version. Unless it checks whose
 * version that is, it drops the service 0.2 s before the answer that confirms it, and nothing of the
 * service runs for seconds although no other node has claimed it.
 * The log then shows RS-7003 `the epoch row has changed`, RS-7002 of the same node and term 0.2 s
 * later, and RS-7001 of the same node with itself as `previous` after 2 s.
 */
import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import { createJob } from '../../jobs/index.js'
import type { Authority } from '../index.js'
import type { RowStore } from '../../ports/index.js'
import { createNodeRoster } from '../../scheduler/nodeRoster.js'
import { createProgressWriter } from '../../scheduler/progressWriter.js'
import { createRoster } from '../../scheduler/roster.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { EPOCH_TABLE } from '../epochRow.js'
import { NODE_LEASE_MS } from '../index.js'

const SERVICE = 'a'
/** Delay of the answer to a write of the epoch row, in ms. */
const LATE_MS = 600

async function until(check: () => boolean, ms: number): Promise<boolean> {
  const endsAt = performance.now() + ms
  while (!check() && performance.now() < endsAt) await sleep(10)
  return check()
}

/** Starts an owner whose lease has expired while the answer that confirms it is delayed. */
async function startUnconfirmed() {
  const table = createRowTable()
  const direct = table.forNode('n1')
  const state = { lateEpochs: false, epochWrites: 0 }
  const store: RowStore = {
    ...direct,
    async commit(tx) {
      const res = await direct.commit(tx)
      const isEpoch = tx.puts.some((put) => put.table === EPOCH_TABLE)
      if (!isEpoch || !state.lateEpochs) return res
      state.epochWrites++
      await sleep(LATE_MS)
      return res
    },
  }
  const node = startOwnerNode({ id: 'n1', store, services: [SERVICE] })
  await until(() => node.authorities.size === 1, 3000)
  table.faults.refusedNodes.add('n1')
  await sleep(NODE_LEASE_MS + 300)
  state.lateEpochs = true
  table.faults.refusedNodes.clear()
  await until(() => state.epochWrites > 0, 3000)
  const authority = node.authorities.get(SERVICE)!
  return { table, direct, node, authority }
}

const log = createMemoryLogger()
const ignore = (): void => undefined

/** Runs `use` with such an owner, its progress writer and its roster, and stops them after it. */
async function withOwner(
  use: (parts: {
    authority: Authority
    writer: ReturnType<typeof createProgressWriter>
    roster: ReturnType<typeof createRoster>
    table: ReturnType<typeof createRowTable>
  }) => Promise<void>,
): Promise<void> {
  const { table, direct, node, authority } = await startUnconfirmed()
  const opts = { store: direct, service: SERVICE, authority, log }
  const writer = createProgressWriter({ ...opts, settled: ignore })
  const nodeRoster = createNodeRoster(opts)
  const roster = createRoster({ ...opts, entries: [], nodeRoster, added: ignore })
  try {
    await use({ authority, writer, roster, table })
  } finally {
    roster.stop()
    await writer.stop(false)
    await node.stop()
  }
}

describe('owner with a newer version of its own epoch row', () => {
  it('keeps the service when a write of its progress is rejected for it', async (t) => {
    await withOwner(async ({ authority, writer }) => {
      t.false(authority.isConfirmed())
      const job = createJob(makeJob({}), 0)
      writer.markDirty(job)
      t.true(await until(() => job.progressVersion > 0, 400))
      t.false(authority.isLost())
      t.true(await until(() => authority.isConfirmed(), 2 * LATE_MS))
    })
  })

  it('keeps the service when a write of its targets is rejected for it', async (t) => {
    await withOwner(async ({ authority, roster }) => {
      roster.add({ id: 'i-1', address: 't1:1' })
      t.true(await until(() => roster.has('i-1'), 400))
      t.false(authority.isLost())
    })
  })

  it('still loses the service to another owner', async (t) => {
    await withOwner(async ({ authority, writer, table }) => {
      const other = { node: 'n2', life: 'n2-1', term: authority.term + 1 }
      const key = { table: EPOCH_TABLE, part: SERVICE, key: 'epoch' }
      table.put(key, JSON.stringify(other))
      writer.markDirty(createJob(makeJob({}), 0))
      t.true(await until(() => authority.isLost(), 1000))
    })
  })
})
