import { createFrozenJobBook } from '../../../test/fixtures.js'
import { describe, it } from '../../../test/describe.js'
import { makeJob } from '../../../test/jobRig.js'
import { SHORT_BACKLOG, createShortlist } from '../shortlist.js'

describe('createShortlist', () => {
  // A task that is listed twice would be started twice by one plan.
  it('names a task once whose start did not take place', (t) => {
    const book = createFrozenJobBook()
    for (let count = 0; count <= SHORT_BACKLOG; count++)
      book.add(makeJob({ cpu: 10 }, [{ count: 1 }]))
    const [task] = book.ready
    const list = createShortlist(() => 0)
    const steps = [...book.ready].map(({ step }) => step)
    const ranking = { urgencies: new Map(), isHeld: () => false, at: 0, startsLeft: 1 }
    list.rank({ ...ranking, waiting: steps })
    list.noteReady(task!)
    const tasks = [...list.next(book.ready, 1)!.tasks]
    t.is(tasks.filter((each) => each === task).length, 1)
  })
})
