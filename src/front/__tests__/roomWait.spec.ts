import { describe } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import { itInVirtualTime } from '../../../test/virtualTime.js'
import { openJobBytes } from '../../jobs/index.js'
import { createRoomWait } from '../roomWait.js'

const job = makeJob({}, [{ count: 100 }])
const BYTES = openJobBytes(job)

describe('callers whose jobs their owner has no memory for', () => {
  itInVirtualTime('come back one after another, once it has memory', async (t, clock) => {
    const wait = createRoomWait()
    // One job in two seconds ends.
    const freedPerSecond = BYTES / 2
    const returns = [1, 2, 3].map(() => wait.msFor(job, { freeBytes: 0, freedPerSecond }))
    t.deepEqual(returns, [2000, 4000, 6000])
    await clock.advance(2000)
    t.is(wait.msFor(job, { freeBytes: BYTES, freedPerSecond }), undefined)
    t.is(wait.msFor(job, { freeBytes: 0, freedPerSecond }), 6000)
    await clock.advance(20_000)
    t.is(wait.msFor(job, { freeBytes: 0, freedPerSecond }), 2000)
  })

  itInVirtualTime('are not told to come back within a second or after a minute', (t) => {
    const wait = createRoomWait()
    t.is(wait.msFor(job, { freeBytes: BYTES - 1, freedPerSecond: 1e9 }), 1000)
    t.is(wait.msFor(job, { freeBytes: 0, freedPerSecond: 1 }), 60_000)
    t.is(wait.msFor(job, { freeBytes: 0, freedPerSecond: 0 }), 10_000)
    return Promise.resolve()
  })
})
