/** Waits for node processes, for tests that start them. */
import { request } from 'undici'
import type { NodeProcess } from '../playground/sim/nodeProcess.js'
import { sleep } from '../src/shared/index.js'

/** Longest wait for something that a busy machine does late, in ms. */
const WAIT_TIMEOUT_MS = 40_000
const POLL_INTERVAL_MS = 100

/** Waits until it is so; false when it is not in time. */
export async function waitUntil(
  isDone: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const endsAt = performance.now() + WAIT_TIMEOUT_MS
  while (performance.now() < endsAt) {
    if (await isDone()) return true
    await sleep(POLL_INTERVAL_MS)
  }
  return false
}

/** Whether the node says that it takes callers. */
export async function isReady({ readiness }: NodeProcess): Promise<boolean> {
  const res = await request(`http://${readiness}/readiness`).catch(() => undefined)
  await res?.body.dump()
  return res?.statusCode === 200
}
