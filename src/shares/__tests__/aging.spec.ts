import { describe, it } from '../../../test/describe.js'
import { createAging } from '../index.js'
import type { IdleJob } from '../index.js'

const idle = (
  job: string,
  organisation: string,
  idleSince?: number,
): IdleJob<string> => ({
  job,
  queue: 'q',
  organisation,
  idleSince,
})

describe('createAging', () => {
  it('picks nothing that has not waited long, or that runs', (t) => {
    const aging = createAging()
    t.is(aging.pick([idle('a1', 'a', 0), idle('a2', 'a')], 4000), undefined)
  })

  it('picks the longest idle job of each organisation in turn', (t) => {
    const aging = createAging()
    const jobs = [
      idle('a2', 'a', 200),
      idle('a1', 'a', 100),
      idle('b1', 'b', 300),
      idle('c1', 'c', 9000),
    ]
    t.is(aging.pick(jobs, 10_000), 'a1')
    t.is(aging.pick(jobs, 11_000), 'b1')
    t.is(aging.pick(jobs, 12_000), 'a2')
    t.is(aging.pick(jobs, 13_000), 'b1')
    t.is(aging.pick(jobs, 14_000), 'c1')
    t.is(aging.pick(jobs, 15_000), 'a1')
  })

  it('picks one job a second, which stays due until the next one', (t) => {
    const aging = createAging()
    const jobs = [idle('a1', 'a', 0), idle('b1', 'b', 0)]
    t.is(aging.pick(jobs, 10_000), 'a1')
    t.is(aging.pick(jobs, 10_900), 'a1')
    t.is(aging.pick(jobs, 11_000), 'b1')
  })

  // No target may ever have room for a job: the others of its organisation must not wait for it.
  it('comes to every job of an organisation although some cannot start', (t) => {
    const aging = createAging()
    const jobs = Array.from({ length: 8 }, (_, each) => idle(`j${each}`, 'a', each))
    const picked = new Set<string | undefined>()
    for (let now = 10_000; now < 18_000; now += 1000) picked.add(aging.pick(jobs, now))
    t.is(picked.size, 8)
  })

  // A job that cannot start, as no target has its label, must not keep the turn.
  it('comes to every queue and organisation although some cannot start', (t) => {
    const aging = createAging()
    const jobs = Array.from({ length: 8 }, (_, each) => idle(`j${each}`, `o${each}`, 0))
    const picked = new Set<string | undefined>()
    for (let now = 10_000; now < 18_000; now += 1000) picked.add(aging.pick(jobs, now))
    t.is(picked.size, 8)
  })
})
