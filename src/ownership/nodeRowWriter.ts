/** Writes the row of this node to its own part of the store or, while that is down, to others. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { RowKey, RowStore } from '../ports/index.js'
import type { PlatformError } from '../shared/index.js'
import { nodeKeys } from './nodeRowReader.js'

/** Writes the row of one node. */
export interface NodeRowWriter {
  /**
   * Writes the row. Returns false when it must be written again, because the stored version was
   * not the last known one.
   */
  write(value: string): Promise<Result<boolean, PlatformError>>
}

/** One of the parts that can hold the row. */
interface RowLocation {
  key: RowKey
  /** Version of the row there, 0 for no row; undefined when it must be read first. */
  version: number | undefined
}

/** Attempt to write the row at one location. */
interface Attempt {
  /** False when the stored version was not the last known one. */
  res: Result<boolean, PlatformError>
  /** Whether the attempt failed without any effect. */
  isUnwritten: boolean
}

/** Creates a writer that does not know the stored version yet. */
export function createNodeRowWriter(store: RowStore, id: string): NodeRowWriter {
  const locations: RowLocation[] = nodeKeys(id).map((key) => ({
    key,
    version: undefined,
  }))

  async function versionAt({ key }: RowLocation): Promise<Result<number, PlatformError>> {
    const found = await store.read(key.table, key.part)
    return found.map(({ rows }) => rows[0]?.version ?? 0)
  }

  async function writeAt(location: RowLocation, value: string): Promise<Attempt> {
    if (location.version === undefined) {
      const found = await versionAt(location)
      if (found.isErr()) return { res: err(found.error), isUnwritten: true }
      location.version = found.value
    }
    const { key, version } = location
    const res = await store.commit({
      conditions: [{ ...key, version }],
      puts: [{ ...key, value }],
      removals: [],
    })
    if (res.isErr()) {
      // The row may have been written: its version must be read before the next attempt.
      location.version = undefined
      return { res: err(res.error), isUnwritten: res.error.failure !== 'unknown' }
    }
    const { value: commit } = res
    location.version = commit.committed
      ? commit.version
      : (commit.current[0]?.version ?? 0)
    return { res: ok(commit.committed), isUnwritten: false }
  }

  /** Writes at the first location; if that fails, the next write starts with another one. */
  async function writeAtFirst(value: string): Promise<Attempt> {
    const [first] = locations as [RowLocation]
    const attempt = await writeAt(first, value)
    if (attempt.res.isErr()) locations.push(...locations.splice(0, 1))
    return attempt
  }

  return {
    async write(value) {
      const attempt = await writeAtFirst(value)
      if (attempt.res.isOk() || !attempt.isUnwritten) return attempt.res
      // At most two locations per write, to limit the calls to a store that is down as a whole.
      return (await writeAtFirst(value)).res
    },
  }
}
