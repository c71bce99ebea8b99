/** Waits for conditions of node processes that a test starts. */
import { request } from 'undici'
import type { NodeProcess } from '../playground/sim/nodeProcess.js'
import { sleep } from '../src/shared/index.js'

/** Time-out of a wait, in ms; long enough for a machine under load. */
const WAIT_TIMEOUT_MS = 40_000
const POLL_INTERVAL_MS = 100

/** Polls `isDone` until it holds; false after {@link WAIT_TIMEOUT_MS}. */
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

/** Whether the readiness address of the node answers 200. */
export async function isReady({ readiness }: NodeProcess): Promise<boolean> {
  const res = await request(`http://${readiness}/readiness`).catch(() => undefined)
  await res?.body.dump()
  return res?.statusCode === 200
}
