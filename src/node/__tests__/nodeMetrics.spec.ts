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
