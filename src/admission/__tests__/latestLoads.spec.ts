import { describe, it } from '../../../test/describe.js'
import { createLatestLoads } from '../index.js'

const textOf = (term: number, sequence: number): string =>
  JSON.stringify({ term, sequence, idleCpu: 5 })

describe('createLatestLoads', () => {
  // A call to a slow node may be answered after the service has a new owner.
  it('drops loads of earlier terms and earlier loads of one term', (t) => {
    const loads = createLatestLoads()
    loads.note('svc', textOf(2, 5), 'a:1', 100)
    loads.note('svc', textOf(1, 9), 'b:1', 200)
    loads.note('svc', textOf(2, 4), 'a:1', 300)
    t.is(loads.get('svc', 'b:1', 400), undefined)
    t.is(loads.get('svc', 'a:1', 400)?.load.sequence, 5)
    loads.note('svc', textOf(3, 1), 'b:1', 400)
    t.is(loads.get('svc', 'b:1', 400)?.load.term, 3)
  })

  it('knows no load of a node that is not the owner any more', (t) => {
    const loads = createLatestLoads()
    loads.note('svc', textOf(1, 1), 'a:1', 100)
    t.is(loads.get('svc', 'b:1', 100), undefined)
    t.is(loads.get('svc', undefined, 100), undefined)
    t.is(loads.get('other', 'a:1', 100), undefined)
  })

  // An owner sends one load in all answers within 100 ms; a repetition is no newer.
  it('counts the age from the first call that a load answers', (t) => {
    const loads = createLatestLoads()
    loads.note('svc', textOf(1, 1), 'a:1', 100)
    loads.note('svc', textOf(1, 1), 'a:1', 180)
    t.is(loads.get('svc', 'a:1', 200)?.ageMs, 100)
  })

  it('ignores invalid loads and unknown fields', (t) => {
    const loads = createLatestLoads()
    for (const text of ['', 'null', '[]', '{}', '{"term":1,"sequence":1,"idleCpu":-1}'])
      loads.note('svc', text, 'a:1', 100)
    t.is(loads.get('svc', 'a:1', 100), undefined)
    loads.note('svc', '{"term":1,"sequence":1,"idleCpu":0,"later":[1]}', 'a:1', 100)
    t.deepEqual(loads.get('svc', 'a:1', 100)?.load.backlog, [])
  })
})
