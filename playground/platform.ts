/**
 * Stand-in for the platform over HTTP and JSON: a transactional table, an object store, a list of
 * VMs that may lag, and worker tasks. Faults can be injected.
 */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { serve } from '@hono/node-server'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { z } from 'zod'
import type { ListedVm, Row, TaskSpec, Transaction } from '../src/platform/index.js'
import type { SimFleet } from './fleet.js'
import type { Ledger } from './target.js'

/** Injected faults of the platform; all are off by default. */
export interface PlatformFaults {
  /** Every call fails with 503 and takes no effect. */
  outage: boolean
  /** Delay of every call, in ms. */
  slowMs: number
  /** Number of further transactions that take effect but are answered 503. */
  loseReplies: number
  /** Age of the list of VMs, in ms. */
  listLagMs: number
  /** Nodes whose calls are answered 503. */
  cut: Set<string>
}

/** A running platform. */
export interface StandInPlatform {
  url: string
  faults: PlatformFaults
  /** Number of calls by path. */
  calls: Map<string, number>
  row(key: string): unknown
  keys(): string[]
  close(): Promise<void>
}

/** Options of {@link startPlatform}. */
export interface StandInOptions {
  fleet: SimFleet
  /** Runs on the targets by request id, served to the load tool. */
  ledger?: Ledger
  host?: string
  port?: number
}

interface TableState {
  revision: number
  rows: Map<string, Row>
  /** Revision of the deletion by key. */
  deleted: Map<string, number>
  objects: Map<string, unknown>
}

const DEFAULT_DOWN_MS = 2000

const faultsSchema = z
  .strictObject({
    outage: z.boolean(),
    slowMs: z.number().min(0),
    loseReplies: z.number().int().min(0),
    listLagMs: z.number().min(0),
    cut: z.array(z.string()),
  })
  .partial()

/** Starts a stand-in platform with an empty table. */
export async function startPlatform(opts: StandInOptions): Promise<StandInPlatform> {
  const { fleet } = opts
  const state: TableState = {
    revision: 0,
    rows: new Map(),
    deleted: new Map(),
    objects: new Map(),
  }
  const faults: PlatformFaults = {
    outage: false,
    slowMs: 0,
    loseReplies: 0,
    listLagMs: 0,
    cut: new Set(),
  }
  const calls = new Map<string, number>()
  const lists: { at: number; revision: number; vms: ListedVm[] }[] = []
  const app = new Hono()

  app.use('/v1/*', async (c, next) => {
    calls.set(c.req.path, (calls.get(c.req.path) ?? 0) + 1)
    if (faults.slowMs > 0) await new Promise((done) => setTimeout(done, faults.slowMs))
    const cut = faults.cut.has(c.req.header('rillshunt-node') ?? '')
    if (faults.outage || cut) return c.json({ error: 'outage' }, 503)
    return next()
  })

  app.get('/v1/rows', (c) => {
    const keys = c.req.queries('key') ?? []
    return c.json({ rows: keys.flatMap((key) => state.rows.get(key) ?? []) })
  })
  app.get('/v1/changes', (c) => c.json(changesSince(state, c)))
  app.post('/v1/transact', async (c) => {
    const tx = await c.req.json<Transaction>()
    const failedKey = findFailure(state, tx)
    if (failedKey !== undefined) return c.json({ failedKey }, 409)
    apply(state, tx)
    if (faults.loseReplies > 0) {
      faults.loseReplies--
      return c.json({ error: 'reply lost' }, 503)
    }
    return c.json({ revision: state.revision })
  })
  app.get('/v1/objects', (c) => {
    const prefix = c.req.query('prefix') ?? ''
    const names = [...state.objects.keys()].filter((name) => name.startsWith(prefix))
    return c.json({ names: names.sort() })
  })
  app.get('/v1/objects/:name', (c) => {
    const found = state.objects.get(c.req.param('name'))
    return found === undefined
      ? c.json({ error: 'absent' }, 404)
      : c.json(found as object)
  })
  app.put('/v1/objects/:name', async (c) => {
    state.objects.set(c.req.param('name'), await c.req.json())
    return c.json({})
  })

  app.get('/v1/vms', (c) => {
    const list = laggingList()
    if (Number(c.req.query('since')) === list.revision) return c.body(null, 304)
    const hall = c.req.query('hall')
    const vms = list.vms.filter((vm) => hall === undefined || vm.hall === hall)
    return c.json({ revision: list.revision, vms })
  })
  app.get('/v1/tasks', (c) => {
    const revision = fleet.taskRevision()
    if (Number(c.req.query('since')) === revision) return c.body(null, 304)
    return c.json({ revision, tasks: fleet.tasks(c.req.query('hall') ?? '') })
  })
  app.post('/v1/tasks', async (c) => {
    const refusal = fleet.startTask(await c.req.json<TaskSpec>())
    return refusal === undefined ? c.json({}) : c.json({ error: refusal }, 422)
  })
  app.post('/v1/tasks/stop', async (c) => {
    await fleet.stopTask((await c.req.json<{ id: string }>()).id)
    return c.json({})
  })
  app.post('/v1/vms/drain', async (c) => {
    fleet.drain((await c.req.json<{ vm: string }>()).vm)
    return c.json({})
  })
  app.post('/v1/vms/reboot', async (c) => {
    const { vm, opId } = await c.req.json<{ vm: string; opId: string }>()
    fleet.reboot(vm, opId)
    return c.json({})
  })

  app.get('/control/ledger', (c) => {
    const prefix = c.req.query('prefix') ?? ''
    const runs = [...(opts.ledger ?? [])].filter(([id]) => id.startsWith(prefix))
    return c.json({ runs: Object.fromEntries(runs) })
  })
  app.put('/control/faults', async (c) => {
    const checked = faultsSchema.safeParse(await c.req.json())
    if (!checked.success) return c.json({ error: z.prettifyError(checked.error) }, 400)
    const { cut, ...rest } = checked.data
    Object.assign(faults, rest)
    if (cut) faults.cut = new Set(cut)
    return c.json({ ...faults, cut: [...faults.cut] })
  })
  app.post('/control/vms/:id/crash', async (c) => {
    const downMs = Number(c.req.query('downMs') ?? DEFAULT_DOWN_MS)
    await fleet.crash(c.req.param('id'), downMs)
    return c.json({})
  })

  function laggingList() {
    const now = Date.now()
    const last = lists.at(-1)
    if (last?.revision !== fleet.revision()) {
      lists.push({ at: now, revision: fleet.revision(), vms: fleet.list() })
    }
    while (lists.length > 1 && lists[1]!.at <= now - faults.listLagMs) lists.shift()
    return lists[0]!
  }

  const server = await new Promise<Server>((resolve) => {
    const hostname = opts.host ?? '127.0.0.1'
    const started = serve(
      { fetch: app.fetch, hostname, port: opts.port ?? 0, overrideGlobalObjects: false },
      () => resolve(started as Server),
    )
  })
  const { address, port } = server.address() as AddressInfo

  return {
    url: `http://${address}:${port}`,
    faults,
    calls,
    row: (key) => state.rows.get(key)?.value,
    keys: () => [...state.rows.keys()],
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        server.closeAllConnections()
      }),
  }
}

/** The first key whose condition does not hold; undefined if all conditions hold. */
function findFailure(state: TableState, tx: Transaction): string | undefined {
  for (const { key, version } of tx.writes) {
    if ((state.rows.get(key)?.version ?? 0) !== version) return key
  }
  for (const { key, field, equals } of tx.guards) {
    const value = state.rows.get(key)?.value as Record<string, unknown> | undefined
    if (value?.[field] !== equals) return key
  }
  return undefined
}

function apply(state: TableState, tx: Transaction): void {
  state.revision++
  for (const { key, version, value } of tx.writes) {
    if (value === null) {
      state.rows.delete(key)
      state.deleted.set(key, state.revision)
      continue
    }
    const { revision } = state
    state.rows.set(key, { key, version: version + 1, revision, op: tx.opId, value })
    state.deleted.delete(key)
  }
}

function changesSince(state: TableState, c: Context) {
  const prefixes = c.req.queries('prefix') ?? []
  const since = Number(c.req.query('since') ?? 0)
  // A reader with a higher revision read a table that was lost since; it gets all rows.
  const full = since === 0 || since > state.revision
  const matchesPrefix = (key: string) => prefixes.some((prefix) => key.startsWith(prefix))
  const rows = [...state.rows.values()].filter(
    (row) => matchesPrefix(row.key) && (full || row.revision > since),
  )
  const deleted = [...state.deleted]
    .filter(([key, revision]) => !full && matchesPrefix(key) && revision > since)
    .map(([key]) => key)
  return { revision: state.revision, rows, deleted, full }
}
