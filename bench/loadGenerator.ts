/** Closed-loop and open-loop load generators against one origin. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Client } from 'undici'
import { createRandom, exponential } from '../playground/random.js'

/** A request to repeat. */
export interface RequestSpec {
  origin: string
  path: string
  method: 'GET' | 'POST'
  body: Buffer | null
}

const MAX_LATENCY_US = 60_000_000

/** Creates a histogram of latencies, in µs. */
export const newHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })

async function send(client: Client, spec: RequestSpec): Promise<void> {
  const { path, method, body } = spec
  const res = await client.request({ path, method, body })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`)
}

/**
 * Sends the next request on a connection once the reply to the previous one has arrived.
 * Returns the completed requests per second.
 */
export async function closedLoop(
  spec: RequestSpec,
  connections: number,
  ms: number,
): Promise<number> {
  const end = performance.now() + ms
  let completed = 0
  const runConnection = async () => {
    const client = new Client(spec.origin)
    while (performance.now() < end) {
      await send(client, spec)
      completed++
    }
    await client.close()
  }
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: connections }, runConnection))
  return (completed * 1000) / (performance.now() - startedAt)
}

/**
 * Sends at Poisson arrivals of the given rate per second, whether or not earlier requests
 * have ended, and returns the latencies. An arrival that finds no idle connection is
 * dropped.
 */
export async function openLoop(
  spec: RequestSpec,
  connections: number,
  rate: number,
  ms: number,
  seed: number,
): Promise<Histogram> {
  const random = createRandom(seed)
  const latency = newHistogram()
  const idleClients = Array.from({ length: connections }, () => new Client(spec.origin))
  const clients = [...idleClients]
  const pending = new Set<Promise<void>>()
  const startedAt = performance.now()
  for (let dueMs = 0; dueMs < ms; dueMs += exponential(random, 1000 / rate)) {
    const waitMs = startedAt + dueMs - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    const client = idleClients.pop()
    if (!client) continue
    const sentAt = performance.now()
    const sending: Promise<void> = send(client, spec).then(() => {
      latency.recordValue(Math.round((performance.now() - sentAt) * 1000))
      idleClients.push(client)
      pending.delete(sending)
    })
    pending.add(sending)
  }
  await Promise.all(pending)
  await Promise.all(clients.map((client) => client.close()))
  return latency
}

export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 > 0
    ? sorted[middle]!
    : (sorted[middle - 1]! + sorted[middle]!) / 2
}
