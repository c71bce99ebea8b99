import { describe, it } from '../../../test/describe.js'
import { createMemoryLogger } from '../../shared/index.js'
import { createKernel } from '../kernel.js'
import type { ServiceDefinition } from '../kernel.js'

/** Defines a service that records when it starts and stops. */
function recordingService(
  notes: string[],
  name: string,
  needs: string[],
  fails: 'start' | 'stop' | undefined = undefined,
): ServiceDefinition {
  return {
    name,
    needs,
    async start() {
      if (fails === 'start') throw new Error(`${name} cannot start`)
      notes.push(`+${name}`)
      return {}
    },
    async stop() {
      if (fails === 'stop') throw new Error(`${name} cannot stop`)
      notes.push(`-${name}`)
    },
  } as unknown as ServiceDefinition
}

describe('createKernel', () => {
  describe('order', () => {
    it('starts dependencies first and stops in reverse', async (t) => {
      const notes: string[] = []
      const definitions = [
        recordingService(notes, 'c', ['b']),
        recordingService(notes, 'a', []),
        recordingService(notes, 'b', ['a']),
      ]
      const kernel = createKernel(definitions, createMemoryLogger())
      t.true((await kernel.start()).isOk())
      await kernel.stop()
      t.deepEqual(notes, ['+a', '+b', '+c', '-c', '-b', '-a'])
    })

    it('names a cycle and a missing service', async (t) => {
      const log = createMemoryLogger()
      const cycle = createKernel(
        [recordingService([], 'a', ['b']), recordingService([], 'b', ['a'])],
        log,
      )
      t.is((await cycle.start())._unsafeUnwrapErr().message, 'cycle: a -> b -> a')
      const missing = createKernel([recordingService([], 'a', ['x'])], log)
      t.regex((await missing.start())._unsafeUnwrapErr().message, /'a' needs 'x'/)
    })
  })

  describe('failures', () => {
    it('stops the started services when another fails to start', async (t) => {
      const notes: string[] = []
      const definitions = [
        recordingService(notes, 'a', []),
        recordingService(notes, 'b', ['a'], 'start'),
      ]
      const started = await createKernel(definitions, createMemoryLogger()).start()
      t.regex(started._unsafeUnwrapErr().message, /b cannot start/)
      t.deepEqual(notes, ['+a', '-a'])
    })

    it('stops the other services when one fails to stop, and logs it', async (t) => {
      const notes: string[] = []
      const log = createMemoryLogger()
      const definitions = [
        recordingService(notes, 'a', []),
        recordingService(notes, 'b', ['a'], 'stop'),
      ]
      const kernel = createKernel(definitions, log)
      await kernel.start()
      await Promise.all([kernel.stop(), kernel.stop()])
      t.deepEqual(notes, ['+a', '+b', '-a'])
      t.true(log.events.some(({ name }) => name === 'serviceStopFailed'))
    })
  })
})
