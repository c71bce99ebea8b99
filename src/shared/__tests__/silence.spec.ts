import { describe, it } from '../../../test/describe.js'
import { monotonicMs, sleep, watchSilence } from '../index.js'

/** Blocks the event loop, so that the process reads nothing meanwhile. */
function blockEventLoop(ms: number): void {
  const endsAt = monotonicMs() + ms
  while (monotonicMs() < endsAt);
}

function startWatch(ms: number) {
  let silentAt: number | undefined
  const startedAt = monotonicMs()
  const watch = watchSilence(ms, () => (silentAt = monotonicMs() - startedAt))
  return { watch, silentAfter: () => silentAt }
}

describe('watchSilence', () => {
  it('reports silence that lasts', async (t) => {
    const { silentAfter } = startWatch(50)
    // Other tests of this file block the process, which delays the report.
    for (let each = 0; each < 100 && silentAfter() === undefined; each++) await sleep(20)
    t.true((silentAfter() ?? 0) >= 49)
  })

  it('restarts whenever data is received', async (t) => {
    const { watch, silentAfter } = startWatch(200)
    for (let each = 0; each < 6; each++) {
      await sleep(60)
      watch.heard()
    }
    t.is(silentAfter(), undefined)
    await sleep(600)
    t.truthy(silentAfter())
  })

  it('reports nothing once it is stopped', async (t) => {
    const { watch, silentAfter } = startWatch(30)
    watch.stop()
    await sleep(100)
    t.is(silentAfter(), undefined)
  })

  describe('process that was unable to read for a while', () => {
    it('reads what has arrived before it reports silence', async (t) => {
      const { watch, silentAfter } = startWatch(100)
      setImmediate(() => watch.heard())
      blockEventLoop(250)
      await sleep(50)
      t.is(silentAfter(), undefined)
      watch.stop()
    })

    it('extends the wait by its delay, up to a maximum', async (t) => {
      const { silentAfter } = startWatch(60)
      for (let each = 0; each < 8 && silentAfter() === undefined; each++) {
        blockEventLoop(100)
        await sleep(0)
      }
      t.true((silentAfter() ?? 0) > 150)
    })
  })
})
