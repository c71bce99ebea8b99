import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createNodeMetrics } from '../nodeMetrics.js'

describe('createNodeMetrics', () => {
  // An alert on the gauge must end, so that a lifted cordon is shown as 0 and not left out.
  it('shows each hall that is or was cordoned', async (t) => {
    const { registry, watch } = createNodeMetrics()
    const log = watch(createMemoryLogger())
    const valuesOf = async () => {
      const text = await registry.metrics()
      return text.split('\n').filter((line) => line.startsWith('rillshunt_hall_cordoned'))
    }
    t.deepEqual(await valuesOf(), [])
    log.event('hallCordoned', { hall: 'h1' })
    log.event('hallCordoned', { hall: 'h2' })
    log.event('hallUncordoned', { hall: 'h1' })
    t.deepEqual(await valuesOf(), [
      'rillshunt_hall_cordoned{hall="h1"} 0',
      'rillshunt_hall_cordoned{hall="h2"} 1',
    ])
  })
})

const REFUSED = 'rillshunt_jobs_refused_total'

/** Metrics that watch a log, and the lines of the counter of refused jobs. */
function startMetrics() {
  const metrics = createNodeMetrics()
  const log = metrics.watch(createMemoryLogger())
  const linesOfRefused = async (): Promise<string[]> =>
    (await metrics.registry.metrics())
      .split('\n')
      .filter((line) => line.startsWith(REFUSED))
  return { metrics, log, linesOfRefused }
}

describe('counter of jobs that admission refuses', () => {
  // The metrics of nodes without admission must not change.
  it('is absent before the first one', async (t) => {
    const { metrics, log } = startMetrics()
    log.event('jobRefused', { queue: 'q', reason: 'no answer within 1500 ms' })
    t.false((await metrics.registry.metrics()).includes(REFUSED))
  })

  it('counts by queue and reason', async (t) => {
    const { log, linesOfRefused } = startMetrics()
    log.event('jobRefused', { queue: 'q', reason: 'backlog' })
    log.event('jobRefused', { queue: 'q', reason: 'backlog' })
    log.event('jobRefused', { queue: 'q', reason: 'beyondShare' })
    t.deepEqual(await linesOfRefused(), [
      `${REFUSED}{queue="q",reason="backlog"} 2`,
      `${REFUSED}{queue="q",reason="beyondShare"} 1`,
    ])
  })

  it('has a bounded number of labels', async (t) => {
    const { log, linesOfRefused } = startMetrics()
    for (let number = 0; number < 1000; number++)
      log.event('jobRefused', { queue: `q${number}`, reason: 'backlog' })
    const lines = await linesOfRefused()
    t.is(lines.length, 201)
    t.true(lines.includes(`${REFUSED}{queue="other",reason="backlog"} 800`))
  })
})
