/**
 * Guards against takeovers that never complete behind slow links. After all nodes of a site with
 * links of 2 Mbit/s had lost power for one second, no job ran any more, and 635 accepted jobs
 * counted as lost. The new owners read all jobs of the last minutes, and a page took longer than
 * the fixed time-out of a call, so it was discarded and requested again. The node attributed its
 * own slow link to the store, which answered in 4 ms, and considered the store silent. Its lease
 * expired, and the next owner began to read from the start: 'takeoverWaits' was logged again and
 * again for 20 s. With links of 200 Mbit/s, no guarantee was violated.
 */
import { describe, it } from '../../test/describe.js'
import { isReady, waitUntil } from '../../test/nodeProbe.js'
import { encodeJob, endedKey, intakeKey, jobSchema } from '../../src/jobs/index.js'
import { startNodeProcess } from '../sim/nodeProcess.js'
import { ONE_QUEUE, QUEUE_NAME, QUEUE_SERVICE } from '../sim/oneQueue.js'
import { openRateLimitedLink } from '../sim/rateLimitedLink.js'
import { startSimPlatform } from '../sim/wireServer.js'
import type { SimPlatform } from '../sim/wireServer.js'

const LINK_MBPS = 1.4

/** A job whose spec has the largest usual size. */
const jobOf = (number: number) =>
  jobSchema.parse({
    id: number.toString(16).padStart(16, '0'),
    queue: QUEUE_NAME,
    service: QUEUE_SERVICE,
    spec: JSON.stringify({ ms: 20, cpu: 100, note: 'x'.repeat(3500) }),
    steps: [{ count: 1, cpu: 100, estimateMs: 20 }],
    acceptedAtMs: Date.now(),
  })

const startPlatform = async (): Promise<SimPlatform> => {
  const platform = await startSimPlatform({
    pools: { one: 4, idle: 1 },
    halls: ['h1'],
    capacity: { cpu: 8000, memMb: 32_000, gpu: 0 },
    offlineMs: 300,
  })
  platform.putConfiguration(ONE_QUEUE)
  return platform
}

const hasEnded = ({ table }: SimPlatform, number: number): boolean =>
  table.get(endedKey(QUEUE_NAME, jobOf(number).id)) !== undefined

describe('a node behind a slow link', () => {
  it('takes over open jobs whatever the size of a page', async (t) => {
    const platform = await startPlatform()
    // 2.4 MB of rows: over the link, one part takes 1.7 s and all parts take 14 s.
    const count = 480
    for (let number = 1; number <= count; number++) {
      const job = jobOf(number)
      platform.table.put(intakeKey(QUEUE_NAME, job.id), encodeJob(job))
    }
    const link = await openRateLimitedLink(platform.storeAddress, LINK_MBPS)
    const limitedPlatform = { ...platform, storeAddress: link.address }
    const node = await startNodeProcess(limitedPlatform, 'n1', 'h1')
    t.true(await waitUntil(() => isReady(node)))
    const first = platform.ledger.entries.length
    t.true(await waitUntil(() => platform.ledger.entries.length > first + 2 * count - 1))
    const takeovers = node.output().match(/"ownershipTaken"[^\n]*"service":"one"/g) ?? []
    t.is(takeovers.length, 1, 'the node keeps the ownership throughout')
    await node.kill()
    link.close()
    await platform.close()
  })

  it('reads no jobs that have ended', async (t) => {
    const platform = await startPlatform()
    const before = await startNodeProcess(platform, 'n1', 'h1')
    t.true(await waitUntil(() => isReady(before)))
    const count = 200
    for (let number = 1; number <= count; number++) {
      const job = jobOf(number)
      platform.table.put(intakeKey(QUEUE_NAME, job.id), encodeJob(job))
    }
    const numbers = Array.from({ length: count }, (_, each) => each + 1)
    t.true(await waitUntil(() => numbers.every((number) => hasEnded(platform, number))))
    await before.kill()
    const open = jobOf(count + 1)
    platform.table.put(intakeKey(QUEUE_NAME, open.id), encodeJob(open))
    const link = await openRateLimitedLink(platform.storeAddress, LINK_MBPS)
    const node = await startNodeProcess(
      { ...platform, storeAddress: link.address },
      'n2',
      'h1',
    )
    const started = /"ownerStarted"[^\n]*"service":"one"[^\n]*"jobs":1[,}]/
    t.true(await waitUntil(() => started.test(node.output())))
    t.true(await waitUntil(() => hasEnded(platform, count + 1)))
    await node.kill()
    link.close()
    await platform.close()
  })
})
