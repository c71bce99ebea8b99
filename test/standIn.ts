/** A stand-in platform without VMs and a client of it, for one test. */
import type { ExecutionContext } from 'ava'
import { createSimFleet } from '../playground/fleet.js'
import { startPlatform } from '../playground/platform.js'
import type { StandInPlatform } from '../playground/platform.js'
import { createRandom } from '../playground/random.js'
import { createHttpPlatform } from '../src/platform/index.js'
import type { Platform } from '../src/platform/index.js'

/** Node name that the client sends; calls under it can be cut off by a fault. */
export const CLIENT_NODE = 'test'

/** Starts the stand-in and the client; both close with the test. */
export async function startStandIn(
  t: ExecutionContext,
): Promise<{ standIn: StandInPlatform; platform: Platform }> {
  const random = createRandom(1)
  const fleet = createSimFleet({ host: '127.0.0.1', random, ledger: new Map() })
  const standIn = await startPlatform({ fleet })
  const platform = createHttpPlatform({
    url: standIn.url,
    timeoutMs: 2000,
    node: CLIENT_NODE,
  })
  t.teardown(async () => {
    await platform.close()
    await standIn.close()
  })
  return { standIn, platform }
}
