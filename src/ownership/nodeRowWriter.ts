/** Writes the row of this node, in its own part of the store or, while that is down, in others. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowKey, RowStore } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'
import { nodeKeys } from './nodeRowFollower.js'

/** Writes the row of one node. */
export interface NodeRowWriter {
  /**
   * True when it was written; false when it must be tried again, because the row was
   * another one than the last that we know of.
   */
  write(value: string): Promise<Result<boolean, PlatformError>>
}

/** One place of the row. */
interface Place {
  key: RowKey
  /** Version that the row has there, 0 for none; undefined when it must be read first. */
  version: number | undefined
}

/** Creates the writer; nothing is known of the row yet. */
export function createNodeRowWriter(store: RowStore, id: string): NodeRowWriter {
  const places: Place[] = nodeKeys(id).map((key) => ({ key, version: undefined }))

  async function versionAt({ key }: Place): Promise<Result<number, PlatformError>> {
    const found = await store.read(key.table, key.part)
    return found.map(({ rows }) => rows[0]?.version ?? 0)
  }

  async function writeAt(
    place: Place,
    value: string,
  ): Promise<Result<boolean, PlatformError>> {
    if (place.version === undefined) {
      const found = await versionAt(place)
      if (found.isErr()) return err(found.error)
      place.version = found.value
    }
    const { key, version } = place
    const res = await store.commit({
      conditions: [{ ...key, version }],
      puts: [{ ...key, value }],
      removals: [],
    })
    if (res.isErr()) {
      // It may have been written: its version must be read before the next try.
      place.version = undefined
      return err(res.error)
    }
    const { value: commit } = res
    place.version = commit.committed ? commit.version : (commit.current[0]?.version ?? 0)
    return ok(commit.committed)
  }

  const isRefused = (res: Result<boolean, PlatformError>): boolean =>
    res.isErr() && res.error.failure === 'refused'

  /** Puts the first places last, so that the next write begins with the others. */
  const passOver = (count: number): void => void places.push(...places.splice(0, count))

  return {
    async write(value) {
      const [first, second] = places as [Place, Place]
      const res = await writeAt(first, value)
      if (!isRefused(res)) return res
      // Two places a write, so that a store that is down as a whole is not asked more often.
      const other = await writeAt(second, value)
      passOver(isRefused(other) ? 2 : 1)
      return other
    },
  }
}
