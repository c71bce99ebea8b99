/**
 * The list of targets while somebody needs it. Only owners of services do: followed by all
 * nodes, of which one in ten owns something, it made a third of the calls to the store.
 */
import type { TargetList } from './targetList.js'

/** Gives out one list to all that need it at the same time. */
export interface TargetSource {
  /** The list, which is followed until it is released as often as it was acquired. */
  acquire(): TargetList
  release(): void
  stop(): Promise<void>
}

/** Creates a source that follows nothing yet. */
export function createTargetSource(createList: () => TargetList): TargetSource {
  let list: TargetList | undefined
  let userCount = 0
  return {
    acquire() {
      userCount++
      list ??= createList()
      return list
    },
    release() {
      userCount--
      if (userCount > 0) return
      void list?.stop()
      list = undefined
    },
    async stop() {
      await list?.stop()
    },
  }
}
