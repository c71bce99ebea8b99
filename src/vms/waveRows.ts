/**
 * Rows of maintenance waves in the store: the VMs that have begun, which a new owner of the fleet goes
 * on from, and the status that operators read.
 */
import { z } from 'zod'
import { commitUnderEpoch } from '../ownership/index.js'
import type { Authority } from '../ownership/index.js'
import { keyRange } from '../ports/index.js'
import type { Documents, RowKey, RowStore, WaveState } from '../ports/index.js'
import { createInvalidRows, describeError, parseJson } from '../shared/index.js'
import type { Logger } from '../shared/index.js'

/** Table with the progress of waves; the part is that of the fleet. */
export const WAVES_TABLE = 'waves'

const waveRowSchema = z.object({
  begun: z.array(z.string()),
  /** Wall clock at which the first owner read the wave, in ms; earlier builds leave it out. */
  seenAtMs: z.number().optional(),
})

/** Parses the row of a wave; returns undefined when it has the wrong shape. */
export function decodeWaveRow(value: string): z.infer<typeof waveRowSchema> | undefined {
  return waveRowSchema.safeParse(parseJson(value)).data
}

/** Progress of a wave as stored. */
export interface StoredProgress {
  begun: Set<string>
  /** Wall clock at which the first owner read the wave, in ms; undefined without it in the row. */
  seenAtMs: number | undefined
  /** Version of the row; 0 without one. */
  version: number
}

/** Reads and writes the rows of waves. A failed call is logged and returns undefined. */
export interface WaveRows {
  read(wave: number): Promise<StoredProgress | undefined>
  /**
   * Writes the VMs that have begun, on condition that this node still owns the fleet and that the row
   * has the given version, so that an earlier write that arrives late replaces nothing.
   */
  writeBegun(wave: number, progress: StoredProgress): Promise<WriteResult>
  /** Version of the status row; 0 without one. */
  readStatusVersion(wave: number): Promise<number | undefined>
  /**
   * Writes the status on condition that its row has the given version. The first write of each owner
   * changes the version, so that no later one of an earlier owner takes effect.
   */
  writeStatus(wave: number, state: WaveState, version: number): Promise<WriteResult>
}

/** Whether the row was written, and the version that it has then; undefined when that is unknown. */
export interface WriteResult {
  isWritten: boolean
  version: number | undefined
}

/** Creates the access to the rows under the authority of one owner. */
export function createWaveRows(opts: {
  store: RowStore
  authority: Authority
  status: Documents['waveStatus']
  log: Logger
}): WaveRows {
  const { store, authority, status, log } = opts
  const unreadableRows = createInvalidRows(log, WAVES_TABLE)

  const rowKey = (wave: number): RowKey => ({
    table: WAVES_TABLE,
    part: authority.service,
    key: String(wave),
  })

  function toResult(
    wave: number,
    { table, key }: RowKey,
    res: Awaited<ReturnType<RowStore['commit']>>,
  ): WriteResult {
    if (res.isErr()) {
      log.event('waveNotWritten', { wave, table, reason: describeError(res.error) })
      return { isWritten: false, version: undefined }
    }
    const answer = res.value
    if (answer.committed) return { isWritten: true, version: answer.version }
    // Another write has been carried out first; the next one is on condition of its version.
    const row = answer.current.find((each) => each.table === table && each.key === key)
    return { isWritten: false, version: row?.version ?? 0 }
  }

  return {
    async read(wave) {
      const { table, part, key } = rowKey(wave)
      const res = await store.read(table, part, keyRange(key))
      if (res.isErr()) {
        log.event('waveNotRead', { wave, reason: describeError(res.error) })
        return undefined
      }
      const row = res.value.rows[0]
      const known = row && decodeWaveRow(row.value)
      // The cloud accepts an order again that it has already carried out, so no VM is left out.
      if (row && !known)
        unreadableRows.note(row.key, 'maintenance of its VMs is ordered again')
      const { begun, seenAtMs } = known ?? {}
      return { begun: new Set(begun), seenAtMs, version: row?.version ?? 0 }
    },
    async writeBegun(wave, { begun, seenAtMs, version }) {
      const key = rowKey(wave)
      const res = await commitUnderEpoch(store, authority, {
        conditions: [{ ...key, version }],
        puts: [{ ...key, value: JSON.stringify({ begun: [...begun], seenAtMs }) }],
      })
      return toResult(wave, key, res)
    },
    async readStatusVersion(wave) {
      const { table, part, key } = status.row(wave)
      const res = await store.read(table, part, keyRange(key))
      if (res.isOk()) return res.value.rows[0]?.version ?? 0
      log.event('waveNotRead', { wave, reason: describeError(res.error) })
      return undefined
    },
    async writeStatus(wave, state, version) {
      // Without this, an owner that has been replaced would adopt the version of its successor.
      if (!authority.isConfirmed()) return { isWritten: false, version: undefined }
      const key = status.row(wave)
      const res = await store.commit({
        conditions: [{ ...key, version }],
        puts: [{ ...key, value: status.encode(state) }],
        removals: [],
      })
      return toResult(wave, key, res)
    },
  }
}
