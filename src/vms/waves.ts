/**
 * Progress of maintenance waves. The VMs that have begun are stored in a row, so that a new owner
 * of the fleet neither skips nor repeats any of them.
 */
import { z } from 'zod'
import { keyRange } from '../ports/index.js'
import type { Documents, RowKey, RowStore, Wave } from '../ports/index.js'
import type { Authority } from '../ownership/index.js'
import {
  createInvalidRows,
  describeError,
  monotonicMs,
  parseJson,
} from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { VmInventory } from './vmInventory.js'

/** Table with the progress of waves; the part is that of the fleet. */
export const WAVES_TABLE = 'waves'

const waveRowSchema = z.object({ begun: z.array(z.string()) })

/** Parses the row of a wave; returns undefined when it has the wrong shape. */
export function decodeWaveRow(value: string): z.infer<typeof waveRowSchema> | undefined {
  return waveRowSchema.safeParse(parseJson(value)).data
}

/** A wave and its progress under this owner. */
export interface WaveProgress {
  wave: Wave
  /** VMs whose maintenance was ordered. */
  begun: Set<string>
  /** Monotonic time at which this owner first read the wave, in ms. */
  seenAt: number
  status: 'new' | 'running' | 'completed'
  /** Whether `begun` contains changes that are not in the row yet. */
  dirty: boolean
}

/** The waves that this owner has read. */
export interface WaveTracker {
  /** Waves that are not completed. */
  active(): WaveProgress[]
  /** Adds new waves from those that the operators request. */
  update(waves: Wave[]): Promise<void>
  /** Names of the VMs of a wave that have not begun and are not gone, listed or not. */
  pending(progress: WaveProgress, inventory: VmInventory): string[]
  /** Records that a VM's maintenance was ordered. */
  markBegun(progress: WaveProgress, vm: string): void
  /** Writes the changed progress, and the status that the operators read. */
  save(inventory: VmInventory): Promise<void>
}

/** Creates an empty tracker; the row of a wave is read when the wave is first requested. */
export function createWaveTracker(opts: {
  store: RowStore
  authority: Authority
  status: Documents['waveStatus']
  log: Logger
}): WaveTracker {
  const { store, authority, status, log } = opts
  const waves = new Map<number, WaveProgress>()
  const unreadableRows = createInvalidRows(log, WAVES_TABLE)

  const rowKey = (id: number): RowKey => ({
    table: WAVES_TABLE,
    part: authority.service,
    key: String(id),
  })

  async function load(wave: Wave): Promise<void> {
    const { table, part, key } = rowKey(wave.id)
    const rows = await store.read(table, part, keyRange(key))
    if (rows.isErr()) {
      return log.event('waveNotRead', {
        wave: wave.id,
        reason: describeError(rows.error),
      })
    }
    const row = rows.value.rows[0]
    const known = row && decodeWaveRow(row.value)
    // The cloud accepts an order again that it has already carried out, so no VM is left out.
    if (row && !known)
      unreadableRows.note(row.key, 'maintenance of its VMs is ordered again')
    const begun = new Set(known?.begun)
    const seenAt = monotonicMs()
    waves.set(wave.id, { wave, begun, seenAt, status: 'new', dirty: false })
    log.event('waveSeen', { wave: wave.id, vms: wave.vms.length, begun: begun.size })
  }

  async function writeStatus(
    progress: WaveProgress,
    state: 'running' | 'completed',
  ): Promise<void> {
    const row = status.row(progress.wave.id)
    const res = await store.commit({
      conditions: [],
      puts: [{ ...row, value: status.encode(state) }],
      removals: [],
    })
    if (res.isErr()) {
      const reason = describeError(res.error)
      return log.event('waveNotWritten', { wave: progress.wave.id, reason })
    }
    progress.status = state
    log.event('waveStatus', { wave: progress.wave.id, state, begun: progress.begun.size })
  }

  async function writeBegun(progress: WaveProgress): Promise<void> {
    const { id } = progress.wave
    progress.dirty = false
    const value = JSON.stringify({ begun: [...progress.begun] })
    const res = await store.commit({
      conditions: [authority.epoch()],
      puts: [{ ...rowKey(id), value }],
      removals: [],
    })
    if (res.isOk() && res.value.committed) return
    progress.dirty = true
    const reason = res.isErr() ? describeError(res.error) : 'the epoch row has changed'
    log.event('waveNotWritten', { wave: id, reason })
  }

  const pending = ({ wave, begun }: WaveProgress, { isGone }: VmInventory): string[] =>
    wave.vms.filter((name) => !begun.has(name) && !isGone(name))

  return {
    active: () => [...waves.values()].filter((each) => each.status !== 'completed'),
    async update(requested) {
      for (const wave of requested) if (!waves.has(wave.id)) await load(wave)
    },
    pending,
    markBegun(progress, vm) {
      progress.begun.add(vm)
      progress.dirty = true
    },
    async save(inventory) {
      for (const progress of waves.values()) {
        if (progress.dirty) await writeBegun(progress)
        if (progress.status === 'completed') continue
        const complete = !progress.dirty && pending(progress, inventory).length === 0
        const state = complete ? 'completed' : 'running'
        if (progress.status !== state) await writeStatus(progress, state)
      }
    },
  }
}
