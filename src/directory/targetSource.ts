/**
 * Shares one list of targets among its users, and follows it only while there are any. Only owners
 * of services need it: if all nodes followed it, of which one in ten owns something, it would make
 * up a third of the calls to the store.
 */
import type { TargetList } from './targetList.js'

/** A reference-counted list of targets. */
export interface TargetSource {
  /** Returns the list, which is followed until it is released as often as it was acquired. */
  acquire(): TargetList
  release(): void
  stop(): Promise<void>
}

/** Creates a source; it follows no list before the first `acquire`. */
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
