import { describe, it } from '../../../test/describe.js'
import { monotonicMs, sleep, watchSilence } from '../index.js'

/** Keeps the process from reading anything for so long. */
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
  it('tells once of silence that lasts', async (t) => {
    const { silentAfter } = startWatch(50)
    // Other tests of this file block the process, which puts the end off.
    for (let each = 0; each < 100 && silentAfter() === undefined; each++) await sleep(20)
    t.true((silentAfter() ?? 0) >= 49)
  })

  it('begins anew with each sign of life', async (t) => {
    const { watch, silentAfter } = startWatch(200)
    for (let each = 0; each < 6; each++) {
      await sleep(60)
      watch.heard()
    }
    t.is(silentAfter(), undefined)
    await sleep(600)
    t.truthy(silentAfter())
  })

  it('says nothing once it is stopped', async (t) => {
    const { watch, silentAfter } = startWatch(30)
    watch.stop()
    await sleep(100)
    t.is(silentAfter(), undefined)
  })

  describe('process that could not read meanwhile', () => {
    it('reads what has arrived before it calls the other one silent', async (t) => {
      const { watch, silentAfter } = startWatch(100)
      setImmediate(() => watch.heard())
      blockEventLoop(250)
      await sleep(50)
      t.is(silentAfter(), undefined)
      watch.stop()
    })

    it('waits as much longer as it was late, and not for ever', async (t) => {
      const { silentAfter } = startWatch(60)
      for (let each = 0; each < 8 && silentAfter() === undefined; each++) {
        blockEventLoop(100)
        await sleep(0)
      }
      t.true((silentAfter() ?? 0) > 150)
    })
  })
})
