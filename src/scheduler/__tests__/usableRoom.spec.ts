import { describe, it } from '../../../test/describe.js'
import { createUsableRoom } from '../usableRoom.js'
import type { RoomSample } from '../usableRoom.js'

const INTERVAL_MS = 150
/** An owner whose open tasks need far more room than it can use. */
const OWNER = {
  capacity: 60_000,
  lasting: 0,
  required: 1e6,
  isFull: false,
  isTakingOver: false,
}

/** Reports of an owner whose room and use are given. */
function createReports() {
  const usable = createUsableRoom()
  let now = 0
  return {
    limit: usable.limit,
    reportFor(
      ms: number,
      running: number,
      isBehind: boolean,
      more: Partial<RoomSample> = {},
    ): void {
      for (const endsAt = now + ms; now < endsAt; now += INTERVAL_MS)
        usable.note({ ...OWNER, now, running, isBehind, ...more })
    },
  }
}

describe('createUsableRoom', () => {
  it('sets no limit for an owner that keeps up', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(5000, 10_000, false)
    t.is(limit(), Infinity)
  })

  it('limits an owner that is behind to a little more than what runs', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    t.true(limit() > 10_000 && limit() < 15_000, String(limit()))
  })

  it('leaves an owner that is behind for a moment more than half of its room', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(500, 1000, true)
    t.true(limit() > 30_000, String(limit()))
  })

  // Otherwise most VMs of the fleet move to the service and back every few seconds.
  it('keeps the limit when starts are answered in time again', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    reportFor(10_000, 10_000, false)
    t.true(limit() < 15_000, String(limit()))
  })

  it('follows an owner that uses more', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    reportFor(3000, 20_000, false)
    t.true(limit() > 20_000, String(limit()))
  })

  it('tries more room once the targets are full', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    const before = limit()
    reportFor(1000, 10_000, false, { isFull: true })
    t.true(limit() > before, String(limit()))
  })

  it('follows no drop of the use while VMs move', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    reportFor(2000, 1000, true)
    t.true(limit() > 10_000, String(limit()))
  })

  it('keeps the limit while nothing runs', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    const before = limit()
    reportFor(10_000, 0, true)
    t.true(limit() > before / 2, String(limit()))
  })

  it('leaves room for lasting tasks', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true, { lasting: 20_000 })
    t.true(limit() > 30_000 && limit() < 45_000, String(limit()))
  })

  it('keeps the room of a service that is taken over', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(5000, 1000, true, { isTakingOver: true })
    t.is(limit(), 60_000)
    reportFor(5000, 10_000, true)
    t.true(limit() < 15_000, String(limit()))
  })

  it('ends once all open tasks fit', (t) => {
    const { limit, reportFor } = createReports()
    reportFor(10_000, 10_000, true)
    reportFor(INTERVAL_MS, 10_000, false, { required: 9000 })
    t.is(limit(), Infinity)
  })
})
