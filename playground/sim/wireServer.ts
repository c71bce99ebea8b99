/**
 * Stand-in for the users' platform over HTTP, in its own wire format: store, list of VMs,
 * moves and maintenance, and targets that run tasks. For tests of the real programs, and
 * for `npm start`.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Resources, RowKey, RowStore } from '../../src/ports/index.js'
import { sleep } from '../../src/shared/index.js'
import { createRowTable } from './rowTable.js'
import type { RowTable } from './rowTable.js'
import { createSimTarget } from './simTarget.js'
import type { RunLedger, SimTarget } from './simTarget.js'

const HOST = '127.0.0.1'
/** Time between two heartbeats of a target, in ms. */
const HEARTBEAT_MS = 1500

/** A VM of the stand-in, with the life that runs on it. */
export interface SimVm {
  name: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  hall: string
  labels: string[]
  capacity: Resources
  target: SimTarget | undefined
  port: number
}

export interface SimPlatform {
  table: RowTable
  ledger: RunLedger
  vms: SimVm[]
  storeAddress: string
  cloudAddress: string
  /** Waves by VM that had its maintenance. */
  maintained: { vm: string; wave: number }[]
  putConfiguration(text: unknown): void
  putWave(id: number, vms: string[], durationS: number, maximum: number): void
  waveStatus(id: number): string | undefined
  /** Ends the life on a VM without a word. */
  crash(vm: SimVm): void
  close(): Promise<void>
}

export interface SimPlatformOptions {
  /** Pools with the number of their VMs. */
  pools: Record<string, number>
  halls: string[]
  capacity: Resources
  /** Time that a move or maintenance takes, in ms. */
  awayMs: number
}

type Body = Record<string, unknown>
type Reply = [status: number, body?: unknown]
type Handler = (req: {
  body: Body
  query: URLSearchParams
  headers: IncomingMessage['headers']
}) => Reply | Promise<Reply>

const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64')
const decode = (text: string): string => Buffer.from(text, 'base64').toString('utf8')
const toKey = (row: Body): RowKey => ({
  table: String(row.table),
  part: String(row.part ?? ''),
  key: String(row.private_key),
})
const fromRow = (row: RowKey & { value?: string | undefined; version: number }) => ({
  table: row.table,
  part: row.part,
  private_key: row.key,
  ver: row.version,
  ...(row.value === undefined ? { gone: true } : { value: encode(row.value) }),
})

async function readBody(req: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : (JSON.parse(text) as Body)
}

async function answer(
  handlers: Record<string, Handler>,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://platform')
  const handler = handlers[`${req.method} ${url.pathname}`]
  const body = await readBody(req)
  const [status, reply] = handler
    ? await handler({ body, query: url.searchParams, headers: req.headers })
    : [404]
  res.statusCode = status
  res.setHeader('content-type', 'application/json')
  res.end(reply === undefined ? '' : JSON.stringify(reply))
}

async function listen(handlers: Record<string, Handler>, port = 0): Promise<Server> {
  const server = createServer((req, res) => void answer(handlers, req, res))
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve))
  return server
}

const portOf = (server: Server): number => (server.address() as AddressInfo).port

/** Answers for the store; a refused call gets 503 and an unanswered one nothing in time. */
function storeHandlers(store: RowStore): Record<string, Handler> {
  const failed = async (failure: string): Promise<Reply> => {
    if (failure === 'compacted') return [410]
    if (failure === 'refused') return [503]
    await sleep(5000)
    return [500]
  }
  return {
    async 'POST /rows-tx'({ body }) {
      const conditions = (body.expected_revision ?? []) as Body[]
      const res = await store.commit({
        conditions: conditions.map((row) => ({
          ...toKey(row),
          version: Number(row.ver),
        })),
        puts: ((body.put ?? []) as Body[]).map((row) => ({
          ...toKey(row),
          value: decode(String(row.value)),
        })),
        removals: ((body.remove ?? []) as Body[]).map(toKey),
      })
      if (res.isErr()) return failed(res.error.failure)
      if (!res.value.committed) return [412, { rows: res.value.current.map(fromRow) }]
      return [200, { ver: res.value.version, now_ms: Math.floor(performance.now()) }]
    },
    async 'GET /rows-get'({ query }) {
      const from = query.get('from') ?? ''
      const until = query.get('target_version')
      const range = { from, ...(until !== null && { until }) }
      const res = await store.read(
        query.get('table') ?? '',
        query.get('part') ?? '',
        range,
      )
      if (res.isErr()) return failed(res.error.failure)
      const limit = Number(query.get('limit') ?? 500)
      const rows = res.value.rows.slice(0, limit).map(fromRow)
      return [200, { rows, more: res.value.rows.length > limit, ver: res.value.version }]
    },
    async 'GET /rows-parts'({ query }) {
      const res = await store.parts(query.get('table') ?? '')
      if (res.isErr()) return failed(res.error.failure)
      const after = query.get('after_revision') ?? ''
      return [200, { parts: res.value.filter((part) => part > after), more: false }]
    },
    async 'GET /rows-feed'({ query }) {
      const after = Number(query.get('after_revision'))
      const wait = Number(query.get('wait_ms') ?? 0)
      const res = await store.changes(query.get('table') ?? '', after, wait)
      if (res.isErr()) return failed(res.error.failure)
      return [200, { rows: res.value.changes.map(fromRow), ver: res.value.version }]
    },
  }
}

/** Answers for the target that runs on a VM now. */
function targetHandlers(vm: SimVm): Record<string, Handler> {
  const guarded =
    (handler: (target: SimTarget, body: Body) => Reply | Promise<Reply>): Handler =>
    ({ body, headers }) => {
      const { target } = vm
      if (!target || headers['rillshunt-expected-instance'] !== target.id) return [421]
      return handler(target, body)
    }
  return {
    'POST /run-start': guarded((target, body) => {
      const verdict = target.start({
        task: String(body.task),
        run: Number(body.run),
        spec: String(body.spec ?? ''),
        untilMs: Number(body.until_ms),
        token: Number(body.fencing_token ?? 0),
        saved: String(body.saved ?? ''),
      })
      const clock = { clock_ms: target.clockMs() }
      return verdict === 'accepted' ? [200, clock] : [409, { ...clock, reason: verdict }]
    }),
    'POST /run-stop': guarded((target, body) => {
      const done = target.stop(
        String(body.task),
        Number(body.run),
        Number(body.fencing_token),
      )
      return [done ? 200 : 409, { clock_ms: target.clockMs() }]
    }),
    'POST /pace': guarded((target, body) => {
      const { task, run, percent, fencing_token: token } = body
      const done = target.pace(String(task), Number(run), Number(percent), Number(token))
      return [done ? 200 : 409, { clock_ms: target.clockMs() }]
    }),
    'POST /hold': guarded(async (target, body) => {
      const token = Number(body.fencing_token ?? 0)
      const lastSeen = Number(body.last_seen ?? 0)
      const untilMs = body.until_ms === undefined ? undefined : Number(body.until_ms)
      target.hold({ token, lastSeen, untilMs })
      await target.waitForEnd(Number(body.wait_ms ?? 0))
      const report = target.hold({ token, lastSeen, untilMs })
      if (!report) return [409, { clock_ms: target.clockMs(), reason: 'fence' }]
      const running = report.runs.map((run) => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.load,
      ])
      const ended = report.ends.map((end) => [
        end.seq,
        end.task,
        end.run,
        end.kind,
        end.checkpoint,
      ])
      return [200, { clock_ms: target.clockMs(), running, ended }]
    }),
  }
}

/** Starts the stand-in with one listener per VM. */
export async function startSimPlatform(opts: SimPlatformOptions): Promise<SimPlatform> {
  const table = createRowTable()
  const ledger: RunLedger = { entries: [] }
  const vms: SimVm[] = []
  const maintained: SimPlatform['maintained'] = []
  const servers: Server[] = []
  const timers = new Set<NodeJS.Timeout>()
  let lives = 0

  const rowOf = (id: string): RowKey => ({ table: 'servers', part: '', key: id })

  const beat = (vm: SimVm): void => {
    const { target, capacity } = vm
    if (!target || vm.state !== 'up') return
    const value = {
      service: vm.pool,
      address: `${HOST}:${vm.port}`,
      zone: vm.hall,
      state: 'ready',
      labels: vm.labels,
      capacity: { cpu: capacity.cpu, mem_mb: capacity.memMb, gpu: capacity.gpu },
    }
    table.put(rowOf(target.id), JSON.stringify(value))
  }

  const begin = (vm: SimVm): void => {
    lives++
    const id = `i-${lives.toString(16).padStart(8, '0')}`
    vm.target = createSimTarget({ id, capacity: vm.capacity, ledger })
    vm.state = 'up'
    beat(vm)
  }

  const end = (vm: SimVm): void => {
    if (!vm.target) return
    vm.target.crash()
    table.remove(rowOf(vm.target.id))
    vm.target = undefined
  }

  const away = (vm: SimVm, state: SimVm['state'], pool: string): void => {
    end(vm)
    vm.state = state
    vm.pool = pool
    const timer = setTimeout(() => {
      timers.delete(timer)
      begin(vm)
    }, opts.awayMs)
    timers.add(timer)
  }

  const findVm = (body: Body): SimVm | undefined =>
    vms.find(({ name }) => name === body.machine)

  const cloudHandlers: Record<string, Handler> = {
    'GET /machines': () => [
      200,
      {
        machines: vms.map(({ name, pool, state, hall, labels, capacity, target }) => ({
          machine: name,
          pool,
          state,
          zone: hall,
          labels,
          capacity: { cpu: capacity.cpu, mem_mb: capacity.memMb, gpu: capacity.gpu },
          id: target?.id ?? null,
        })),
        next_page_token: null,
      },
    ],
    'POST /machine-move'({ body }) {
      const vm = findVm(body)
      if (!vm || !(String(body.pool) in opts.pools)) return [400]
      if (vm.pool === body.pool) return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      away(vm, 'moving', String(body.pool))
      return [200, {}]
    },
    'POST /machine-upkeep'({ body }) {
      const vm = findVm(body)
      const wave = Number(body.wave)
      if (!vm) return [400]
      if (maintained.some((each) => each.vm === vm.name && each.wave === wave))
        return [200, {}]
      if (vm.state !== 'up') return [409, { reason: 'busy' }]
      maintained.push({ vm: vm.name, wave })
      away(vm, 'upkeep', vm.pool)
      return [200, {}]
    },
  }

  const store = await listen(storeHandlers(table.forNode('any')))
  const cloud = await listen(cloudHandlers)
  servers.push(store, cloud)
  for (const [pool, count] of Object.entries(opts.pools)) {
    for (let each = 0; each < count; each++) {
      const number = vms.length + 1
      const hall = opts.halls[each % opts.halls.length] ?? 'hall'
      const labels = ['a', `r1-${Math.ceil(number / 4)}`]
      const { capacity } = opts
      const vm: SimVm = {
        name: `m-${number}`,
        pool,
        state: 'up',
        hall,
        labels,
        capacity,
        target: undefined,
        port: 0,
      }
      const server = await listen(targetHandlers(vm))
      servers.push(server)
      vm.port = portOf(server)
      vms.push(vm)
      begin(vm)
    }
  }
  const heartbeats = setInterval(() => vms.forEach(beat), HEARTBEAT_MS)

  const operatorRow = (key: string): RowKey => ({ table: 'op', part: '', key })
  return {
    table,
    ledger,
    vms,
    maintained,
    storeAddress: `${HOST}:${portOf(store)}`,
    cloudAddress: `${HOST}:${portOf(cloud)}`,
    putConfiguration: (value) =>
      void table.put(operatorRow('config'), JSON.stringify(value)),
    putWave(id, names, durationS, maximum) {
      const value = { wave: id, machines: names, duration_s: durationS, maximum }
      table.put(operatorRow(`wave/${id}`), JSON.stringify(value))
    },
    waveStatus(id) {
      const row = table.get({ table: 'status', part: '', key: `wave/${id}` })
      return row && (JSON.parse(row.value) as { state: string }).state
    },
    crash(vm) {
      end(vm)
      vm.state = 'down'
    },
    async close() {
      clearInterval(heartbeats)
      for (const timer of timers) clearTimeout(timer)
      for (const vm of vms) vm.target?.crash()
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
    },
  }
}
