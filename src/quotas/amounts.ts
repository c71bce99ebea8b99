/** Arithmetic on amounts of resources. */
import { z } from 'zod'
import type { Resources } from '../ports/index.js'

/** The kinds of resources that have a maximum. */
export const RESOURCE_KINDS = ['cpu', 'memMb', 'gpu'] as const
/** One kind of resource. */
type ResourceKind = (typeof RESOURCE_KINDS)[number]

/** Amount that stands for no limit; unlike Infinity, JSON can carry it. */
export const UNLIMITED = Number.MAX_SAFE_INTEGER

/** Schema of amounts in messages and rows. */
export const amountsSchema = z.object({
  cpu: z.number(),
  memMb: z.number(),
  gpu: z.number(),
})

/** Returns amounts computed kind by kind. */
export function eachKind(compute: (kind: ResourceKind) => number): Resources {
  return { cpu: compute('cpu'), memMb: compute('memMb'), gpu: compute('gpu') }
}

/** Returns nothing of each kind. */
export const zeroAmounts = (): Resources => ({ cpu: 0, memMb: 0, gpu: 0 })

/** Returns the sum of two amounts, of which {@link UNLIMITED} stays the largest. */
export const addAmounts = (a: Resources, b: Resources): Resources =>
  eachKind((kind) => Math.min(UNLIMITED, a[kind] + b[kind]))

/** Returns the greater amount of each kind. */
export const maxAmounts = (a: Resources, b: Resources): Resources =>
  eachKind((kind) => Math.max(a[kind], b[kind]))

/** Returns the smaller amount of each kind. */
export const minAmounts = (a: Resources, b: Resources): Resources =>
  eachKind((kind) => Math.min(a[kind], b[kind]))

/** Whether an amount exceeds another one of any kind. */
export const exceedsAmounts = (a: Resources, b: Resources): boolean =>
  RESOURCE_KINDS.some((kind) => a[kind] > b[kind])

/** Whether all amounts are zero. */
export const isZeroAmounts = (amounts: Resources): boolean =>
  RESOURCE_KINDS.every((kind) => amounts[kind] === 0)
