/** Writes the row of this node, in its own part of the store or, while that is down, in others. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowKey, RowStore } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'
import { nodeKeys } from './nodeRowReader.js'

/** Writes the row of one node. */
export interface NodeRowWriter {
  /**
   * True when it was written; false when it must be tried again, because the row was
   * another one than the last that we know of.
   */
  write(value: string): Promise<Result<boolean, PlatformError>>
}

/** One place of the row. */
interface RowLocation {
  key: RowKey
  /** Version that the row has there, 0 for none; undefined when it must be read first. */
  version: number | undefined
}

/** Creates the writer; nothing is known of the row yet. */
export function createNodeRowWriter(store: RowStore, id: string): NodeRowWriter {
  const locations: RowLocation[] = nodeKeys(id).map((key) => ({
    key,
    version: undefined,
  }))

  async function versionAt({ key }: RowLocation): Promise<Result<number, PlatformError>> {
    const found = await store.read(key.table, key.part)
    return found.map(({ rows }) => rows[0]?.version ?? 0)
  }

  async function writeAt(
    location: RowLocation,
    value: string,
  ): Promise<Result<boolean, PlatformError>> {
    if (location.version === undefined) {
      const found = await versionAt(location)
      if (found.isErr()) return err(found.error)
      location.version = found.value
    }
    const { key, version } = location
    const res = await store.commit({
      conditions: [{ ...key, version }],
      puts: [{ ...key, value }],
      removals: [],
    })
    if (res.isErr()) {
      // It may have been written: its version must be read before the next try.
      location.version = undefined
      return err(res.error)
    }
    const { value: commit } = res
    location.version = commit.committed
      ? commit.version
      : (commit.current[0]?.version ?? 0)
    return ok(commit.committed)
  }

  const isRefused = (res: Result<boolean, PlatformError>): boolean =>
    res.isErr() && res.error.failure === 'refused'

  /** Puts the first places last, so that the next write begins with the others. */
  const moveToEnd = (count: number): void =>
    void locations.push(...locations.splice(0, count))

  return {
    async write(value) {
      const [first, second] = locations as [RowLocation, RowLocation]
      const res = await writeAt(first, value)
      if (!isRefused(res)) return res
      // Two places a write, so that a store that is down as a whole is not asked more often.
      const other = await writeAt(second, value)
      moveToEnd(isRefused(other) ? 2 : 1)
      return other
    },
  }
}
