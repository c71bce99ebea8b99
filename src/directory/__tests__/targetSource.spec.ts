import { describe, it } from '../../../test/describe.js'
import { createTargetSource } from '../index.js'
import type { TargetList } from '../index.js'

function startSource() {
  const counts = { created: 0, stopped: 0 }
  const source = createTargetSource(() => {
    counts.created++
    return { stop: async () => void counts.stopped++ } as unknown as TargetList
  })
  return { counts, source }
}

describe('createTargetSource', () => {
  it('creates no list before the first use', (t) => {
    t.deepEqual(startSource().counts, { created: 0, stopped: 0 })
  })

  it('shares one list among concurrent users', (t) => {
    const { counts, source } = startSource()
    t.is(source.acquire(), source.acquire())
    source.release()
    t.deepEqual(counts, { created: 1, stopped: 0 })
  })

  it('creates a new list after the last user has released the old one', (t) => {
    const { counts, source } = startSource()
    const first = source.acquire()
    source.release()
    t.not(source.acquire(), first)
    t.deepEqual(counts, { created: 2, stopped: 1 })
  })
})
