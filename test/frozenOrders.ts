/** Calls to targets that leave a node, or answers that reach it, only while it is not frozen. */
import type { TargetOrders } from '../src/ports/index.js'

/** A node that can be frozen. */
export interface Freezer {
  isFrozen(): boolean
  freeze(): void
  /** What has waited goes on in the order in which it came. */
  resume(): void
  /** Resolves at once, or when the node is resumed. */
  passed(): Promise<void>
}

/** Creates a node that is not frozen. */
export function createFreezer(): Freezer {
  let waiters: (() => void)[] | undefined

  return {
    isFrozen: () => waiters !== undefined,
    freeze: () => void (waiters ??= []),
    resume() {
      const resumed = waiters ?? []
      waiters = undefined
      for (const resume of resumed) resume()
    },
    async passed() {
      while (waiters) {
        const present = waiters
        await new Promise<void>((resolve) => void present.push(resolve))
      }
    },
  }
}

/**
 * Holds calls that are issued while the node is frozen until it is resumed; they then reach
 * whichever incarnation of their target is there. Answers wait as well.
 */
export function withFreezer(orders: TargetOrders, freezer: Freezer): TargetOrders {
  const held = async <T>(call: () => Promise<T>): Promise<T> => {
    await freezer.passed()
    const answer = await call()
    await freezer.passed()
    return answer
  }
  return {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        start: (order, ms) => held(() => link.start(order, ms)),
        stop: (order, ms) => held(() => link.stop(order, ms)),
        pace: (order, ms) => held(() => link.pace(order, ms)),
        sync: (order, ms) => held(() => link.sync(order, ms)),
      }
    },
  }
}
