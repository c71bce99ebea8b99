/** Closed and open loops against one address, for benches. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Client } from 'undici'
import { createRandom, exponential } from '../playground/random.js'

/** What to send. */
export interface Work {
  origin: string
  path: string
  method: 'GET' | 'POST'
  body: Buffer | null
}

const MAX_LATENCY_US = 60_000_000

/** A histogram of times in µs. */
export const newHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })

async function send(client: Client, work: Work): Promise<void> {
  const { path, method, body } = work
  const res = await client.request({ path, method, body })
  await res.body.dump()
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`)
}

/** Requests a second that so many connections get through, each sending when it is answered. */
export async function closedLoop(
  work: Work,
  connections: number,
  ms: number,
): Promise<number> {
  const end = performance.now() + ms
  let done = 0
  const one = async () => {
    const client = new Client(work.origin)
    while (performance.now() < end) {
      await send(client, work)
      done++
    }
    await client.close()
  }
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: connections }, one))
  return (done * 1000) / (performance.now() - startedAt)
}

/** Times of requests that arrive at a rate, whether or not earlier ones have ended. */
export async function openLoop(
  work: Work,
  connections: number,
  rate: number,
  ms: number,
  seed: number,
): Promise<Histogram> {
  const random = createRandom(seed)
  const latency = newHistogram()
  const idle = Array.from({ length: connections }, () => new Client(work.origin))
  const all = [...idle]
  const pending = new Set<Promise<void>>()
  const startedAt = performance.now()
  for (let due = 0; due < ms; due += exponential(random, 1000 / rate)) {
    const wait = startedAt + due - performance.now()
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    const client = idle.pop()
    if (!client) continue
    const sentAt = performance.now()
    const one: Promise<void> = send(client, work).then(() => {
      latency.recordValue(Math.round((performance.now() - sentAt) * 1000))
      idle.push(client)
      pending.delete(one)
    })
    pending.add(one)
  }
  await Promise.all(pending)
  await Promise.all(all.map((client) => client.close()))
  return latency
}

/** The median of some numbers. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 > 0
    ? sorted[middle]!
    : (sorted[middle - 1]! + sorted[middle]!) / 2
}
