/** Tracks the free resources of a target. */
import type { Step } from '../jobs/index.js'
import type { Resources } from '../ports/index.js'

export interface Room {
  readonly free: Resources
  readonly capacity: Resources
  /** Number of tasks of the step on the target, for limits per target. */
  countOf(step: Step): number
  /** Whether one more task of the step fits. */
  fits(step: Step): boolean
  /** Reserves the resources of one task of the step, also beyond what is free. */
  reserve(step: Step): void
  /** Releases the resources of one task of the step. */
  release(step: Step): void
  /** Sets the capacity; what is free may become negative. */
  resize(capacity: Resources): void
}

/** Resources of one task of the step. A task that uses spare processor time needs no CPU room. */
export function needOf({ spec }: Pick<Step, 'spec'>): Resources {
  return { cpu: spec.fills ? 0 : spec.cpu, memMb: spec.memMb, gpu: spec.gpu }
}

/** Processor room that is not free, in thousandths of a core. */
export const takenCpuOf = ({ capacity, free }: Pick<Room, 'capacity' | 'free'>): number =>
  capacity.cpu - free.cpu

export function createRoom(initial: Resources): Room {
  let capacity = { ...initial }
  const free = { ...initial }
  const counts = new Map<Step, number>()

  const change = (need: Resources, sign: 1 | -1): void => {
    free.cpu += sign * need.cpu
    free.memMb += sign * need.memMb
    free.gpu += sign * need.gpu
  }

  return {
    free,
    get capacity() {
      return capacity
    },
    countOf: (step) => counts.get(step) ?? 0,
    fits(step) {
      const need = needOf(step)
      return need.cpu <= free.cpu && need.memMb <= free.memMb && need.gpu <= free.gpu
    },
    reserve(step) {
      change(needOf(step), -1)
      counts.set(step, (counts.get(step) ?? 0) + 1)
    },
    release(step) {
      change(needOf(step), 1)
      const left = (counts.get(step) ?? 0) - 1
      if (left > 0) counts.set(step, left)
      else counts.delete(step)
    },
    resize(next) {
      change({ ...next }, 1)
      change(capacity, -1)
      capacity = { ...next }
    },
  }
}
