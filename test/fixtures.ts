/** Fixtures shared by the tests of several areas. */
import { createJobBook } from '../src/jobs/index.js'
import type { JobBook } from '../src/jobs/index.js'
import type { Vm } from '../src/ports/index.js'

/** CPU capacity of a VM from {@link vmOf}, in thousandths of a core. */
export const VM_CPU = 10_000

/** A VM that is up. `number` determines its name and the id of its target. */
export const vmOf = (number: number, pool: string): Vm => ({
  name: `m${number}`,
  pool,
  state: 'up',
  hall: 'h1',
  labels: [],
  capacity: { cpu: VM_CPU, memMb: 1000, gpu: 0 },
  targetId: `i${number}`,
})

/** An empty job book with both clocks fixed at 0 and callbacks that do nothing. */
export const createFrozenJobBook = (): JobBook =>
  createJobBook({
    rulesOf: () => ({ maxAttempts: 1 }),
    now: () => 0,
    wallMs: () => 0,
    progressChanged: () => undefined,
    runUnwanted: () => undefined,
    wake: () => undefined,
    outcomeReached: () => undefined,
  })
