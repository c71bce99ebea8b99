/** Small things that the tests of several areas need. */
import { createJobBook } from '../src/jobs/index.js'
import type { JobBook } from '../src/jobs/index.js'
import type { Vm } from '../src/ports/index.js'

/** Processor room of a VM from {@link vmOf}, in thousandths of a core. */
export const VM_CPU = 10_000

/** A VM that is up; `number` names it and the life on it. */
export const vmOf = (number: number, pool: string): Vm => ({
  name: `m${number}`,
  pool,
  state: 'up',
  hall: 'h1',
  labels: [],
  capacity: { cpu: VM_CPU, memMb: 1000, gpu: 0 },
  targetId: `i${number}`,
})

/** An empty job book whose clocks stand still and that tells nobody. */
export const createStillBook = (): JobBook =>
  createJobBook({
    rulesOf: () => ({ maxAttempts: 1 }),
    now: () => 0,
    wallMs: () => 0,
    changed: () => undefined,
    dropped: () => undefined,
    wake: () => undefined,
    ended: () => undefined,
  })
