/** Platform adapter over HTTP and JSON, built on undici. */
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { describeError } from '../shared/index.js'
import type { PlatformError, PlatformFailure } from '../shared/index.js'
import { platformFailure } from './fail.js'
import { changesSchema, rowSchema, taskListSchema, vmListSchema } from './types.js'
import type { Platform, PlatformResult, TransactionOutcome } from './types.js'

/** Options of {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
  /** Origin of the platform. */
  url: string
  /** Time-out of one call, in ms. */
  timeoutMs: number
  /** Name of this process, sent with each call for the platform's records. */
  node: string
  /** Called with the bytes sent and received by each call. */
  onTraffic?: (step: string, sentBytes: number, receivedBytes: number) => void
}

const MAX_CONNECTIONS = 4
const HTTP_NOT_MODIFIED = 304
const HTTP_NOT_FOUND = 404
const HTTP_CONFLICT = 409
/** Codes of undici and socket errors that mean that nothing was sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
])

const anySchema = z.unknown()
const committedSchema = z.object({ revision: z.number() })
const conflictSchema = z.object({ failedKey: z.string() })
const rowsSchema = z.object({ rows: z.array(rowSchema) })
const namesSchema = z.object({ names: z.array(z.string()) })

interface Call {
  step: string
  method: Dispatcher.HttpMethod
  path: string
  body?: unknown
}

interface Answer {
  status: number
  body: unknown
}

function query(name: string, values: string[]): string {
  const search = new URLSearchParams()
  for (const value of values) search.append(name, value)
  return search.toString()
}

/** Creates the adapter. Nothing is sent before the first call. */
export function createHttpPlatform(opts: HttpPlatformOptions): Platform {
  const pool = new Pool(opts.url, { connections: MAX_CONNECTIONS, pipelining: 1 })

  async function send(call: Call): PlatformResult<Answer> {
    const fail = (failure: PlatformFailure, reason: string) =>
      platformFailure(call.step, failure, reason, opts.url)
    const body = call.body === undefined ? undefined : JSON.stringify(call.body)
    const headers = { 'content-type': 'application/json', 'rillshunt-node': opts.node }
    try {
      const signal = AbortSignal.timeout(opts.timeoutMs)
      const { method, path } = call
      const res = await pool.request({
        method,
        path,
        headers,
        body: body ?? null,
        signal,
      })
      const text = await res.body.text()
      opts.onTraffic?.(call.step, body?.length ?? 0, text.length)
      const status = res.statusCode
      if (status >= 500) return fail('unknown', `platform answered ${status}`)
      return ok({ status, body: text === '' ? undefined : JSON.parse(text) })
    } catch (cause) {
      const code = (cause as { code?: string }).code ?? ''
      const failure = UNSENT_CODES.has(code) ? 'unreachable' : 'unknown'
      return fail(failure, describeError(cause))
    }
  }

  async function request<T>(call: Call, schema: z.ZodType<T>): PlatformResult<T> {
    const answer = await send(call)
    return answer.andThen(({ status, body }): Result<T, PlatformError> => {
      if (status >= 400) {
        const refusal = `platform refused with ${status}: ${JSON.stringify(body)}`
        return platformFailure(call.step, 'refused', refusal, opts.url)
      }
      const checked = schema.safeParse(body)
      if (checked.success) return ok(checked.data)
      const reason = `answer has the wrong shape: ${z.prettifyError(checked.error)}`
      return platformFailure(call.step, 'unknown', reason, opts.url)
    })
  }

  /** Reads conditionally; undefined when nothing has changed. */
  async function requestIfChanged<T>(
    step: string,
    path: string,
    schema: z.ZodType<T>,
  ): PlatformResult<T | undefined> {
    const answer = await send({ step, method: 'GET', path })
    if (answer.isErr()) return err(answer.error)
    if (answer.value.status === HTTP_NOT_MODIFIED) return ok(undefined)
    const checked = schema.safeParse(answer.value.body)
    if (checked.success) return ok(checked.data)
    return platformFailure(step, 'unknown', 'answer has the wrong shape', opts.url)
  }

  const post = (step: string, path: string, body: unknown): PlatformResult<void> =>
    request({ step, method: 'POST', path, body }, anySchema).then((res) =>
      res.map(() => undefined),
    )

  return {
    async read(keys) {
      const path = `/v1/rows?${query('key', keys)}`
      const answer = await request({ step: 'read', method: 'GET', path }, rowsSchema)
      return answer.map(({ rows }) => new Map(rows.map((row) => [row.key, row])))
    },
    async changes(prefixes, since) {
      const path = `/v1/changes?${query('prefix', prefixes)}&since=${since}`
      const call: Call = { step: 'changes', method: 'GET', path }
      return request(call, changesSchema)
    },
    async transact(tx) {
      const call: Call = {
        step: 'transact',
        method: 'POST',
        path: '/v1/transact',
        body: tx,
      }
      const answer = await send(call)
      return answer.andThen(
        ({ status, body }): Result<TransactionOutcome, PlatformError> => {
          const conflict = conflictSchema.safeParse(body)
          if (status === HTTP_CONFLICT && conflict.success) {
            return ok({ committed: false, failedKey: conflict.data.failedKey })
          }
          const committed = committedSchema.safeParse(body)
          if (status === 200 && committed.success) {
            return ok({ committed: true, revision: committed.data.revision })
          }
          const failure = status >= 400 ? 'refused' : 'unknown'
          const reason = `unexpected answer ${status} to a transaction`
          return platformFailure('transact', failure, reason, opts.url)
        },
      )
    },
    async getObject(name) {
      const path = `/v1/objects/${encodeURIComponent(name)}`
      const answer = await send({ step: 'getObject', method: 'GET', path })
      return answer.map(({ status, body }) =>
        status === HTTP_NOT_FOUND ? undefined : body,
      )
    },
    putObject: async (name, body) => {
      const path = `/v1/objects/${encodeURIComponent(name)}`
      const answer = await request(
        { step: 'putObject', method: 'PUT', path, body },
        anySchema,
      )
      return answer.map(() => undefined)
    },
    async listObjects(prefix) {
      const path = `/v1/objects?${new URLSearchParams({ prefix })}`
      const answer = await request(
        { step: 'listObjects', method: 'GET', path },
        namesSchema,
      )
      return answer.map(({ names }) => names)
    },
    listVms(hall, since) {
      const halls = query('hall', hall === undefined ? [] : [hall])
      return requestIfChanged('listVms', `/v1/vms?${halls}&since=${since}`, vmListSchema)
    },
    listTasks(hall, since) {
      const path = `/v1/tasks?${query('hall', [hall])}&since=${since}`
      return requestIfChanged('listTasks', path, taskListSchema)
    },
    startTask: (spec) => post('startTask', '/v1/tasks', spec),
    stopTask: (id) => post('stopTask', '/v1/tasks/stop', { id }),
    drainVm: (vm, opId) => post('drainVm', '/v1/vms/drain', { vm, opId }),
    rebootVm: (vm, opId) => post('rebootVm', '/v1/vms/reboot', { vm, opId }),
    close: () => pool.close(),
  }
}
