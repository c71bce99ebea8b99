/**
 * Progress of maintenance waves. The VMs that have begun are stored in a row, so that a new owner
 * of the fleet neither skips nor repeats any of them.
 */
import type { Documents, RowStore, Wave, WaveState } from '../ports/index.js'
import type { Authority } from '../ownership/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import { STATUS_CHECK_AFTER_MS } from './constants.js'
import type { VmInventory } from './vmInventory.js'
import { createWaveRows } from './waveRows.js'
import type { StoredProgress, WaveRows } from './waveRows.js'

/** Status row of a wave as this owner knows it. */
interface KnownStatus {
  /** State that this owner has written last; undefined before, or if another one may stand there. */
  state: WaveState | undefined
  /** Version of the row; 0 until it is known. */
  version: number
  /** Whether a late write of an earlier owner would have shown by now. */
  isChecked: boolean
}

/** A wave and its progress under this owner. */
export interface WaveProgress {
  wave: Wave
  /** VMs whose maintenance the cloud has accepted. */
  begun: Set<string>
  /** VMs with an order of this owner that was not answered, and that may still be carried out. */
  unanswered: Set<string>
  /** VMs whose last order was refused, with the monotonic time of the next one, in ms. */
  retryAt: Map<string, number>
  /** Monotonic time at which the first owner read the wave, in ms. */
  seenAt: number
}

/** A wave with the state of its rows. */
interface TrackedWave extends WaveProgress {
  /** Wall clock at which the first owner read the wave, in ms. */
  seenAtMs: number
  /** Monotonic time at which this owner read the wave, in ms. */
  loadedAt: number
  /** Version of the row with the progress; 0 without one. */
  rowVersion: number
  /** Whether `begun` contains changes that are not in the row yet. */
  isDirty: boolean
  status: KnownStatus
}

/** The waves that this owner has read. */
export interface WaveTracker {
  /** Waves with VMs that have not begun. */
  active(inventory: VmInventory): WaveProgress[]
  /** Adds new waves from those that the operators request, and adopts changes of known ones. */
  update(waves: Wave[]): Promise<void>
  /** Names of the VMs of a wave that have not begun and are not gone, listed or not. */
  pending(progress: WaveProgress, inventory: VmInventory): string[]
  /** Records that the cloud has accepted the maintenance of a VM. */
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
  const { log } = opts
  const rows = createWaveRows(opts)
  const waves = new Map<number, TrackedWave>()

  async function load(wave: Wave): Promise<void> {
    const stored = await rows.read(wave.id)
    if (!stored) return
    const { begun, seenAtMs = Date.now(), version } = stored
    const loadedAt = monotonicMs()
    const elapsedMs = clamp(Date.now() - seenAtMs, 0, wave.durationMs)
    waves.set(wave.id, {
      wave,
      begun,
      unanswered: new Set(),
      retryAt: new Map(),
      rowVersion: version,
      isDirty: stored.seenAtMs === undefined,
      seenAtMs,
      seenAt: loadedAt - elapsedMs,
      loadedAt,
      status: { state: undefined, version: 0, isChecked: false },
    })
    log.event('waveSeen', {
      wave: wave.id,
      vms: wave.vms.length,
      begun: begun.size,
      rowVersion: version,
      elapsedMs,
    })
  }

  const pending = ({ wave, begun }: WaveProgress, { isGone }: VmInventory): string[] =>
    wave.vms.filter((name) => !begun.has(name) && !isGone(name))

  /** Writes the status if it has changed; once more if the row had another version. */
  async function writeStatus(
    { wave, begun, rowVersion, status }: TrackedWave,
    state: WaveState,
    inventory: VmInventory,
  ): Promise<void> {
    for (let tries = 0; tries < 2 && status.state !== state; tries++) {
      const { isWritten, version } = await rows.writeStatus(
        wave.id,
        state,
        status.version,
      )
      if (version === undefined) return
      status.version = version
      if (!isWritten) continue
      status.state = state
      log.event('waveStatus', {
        wave: wave.id,
        state,
        begun: begun.size,
        rowVersion,
        listAgeMs: Math.round(monotonicMs() - inventory.requestedAt),
        listed: inventory.vms.size,
        gone: wave.vms.filter((name) => !begun.has(name) && inventory.isGone(name)),
      })
    }
  }

  return {
    active: (inventory) =>
      [...waves.values()].filter((each) => pending(each, inventory).length > 0),
    async update(requested) {
      const loads = requested.map((wave) => {
        const known = waves.get(wave.id)
        if (!known) return load(wave)
        known.wave = wave
        return undefined
      })
      await Promise.all(loads)
    },
    pending,
    markBegun({ wave, begun }, vm) {
      begun.add(vm)
      const tracked = waves.get(wave.id)
      if (tracked) tracked.isDirty = true
    },
    async save(inventory) {
      for (const tracked of waves.values()) {
        if (tracked.isDirty) await writeBegun(rows, tracked)
        const isComplete = !tracked.isDirty && pending(tracked, inventory).length === 0
        await checkStatus(rows, tracked)
        await writeStatus(tracked, isComplete ? 'completed' : 'running', inventory)
      }
    },
  }
}

/** Clocks of nodes differ, and may jump. */
const clamp = (value: number, least: number, most: number): number =>
  Math.min(most, Math.max(least, value))

async function writeBegun(rows: WaveRows, tracked: TrackedWave): Promise<void> {
  const { wave, begun, seenAtMs, rowVersion } = tracked
  const stored: StoredProgress = { begun, seenAtMs, version: rowVersion }
  tracked.isDirty = false
  const { isWritten, version } = await rows.writeBegun(wave.id, stored)
  if (!isWritten) tracked.isDirty = true
  if (version !== undefined) tracked.rowVersion = version
}

/**
 * Reads the version of the status row once, a while after this owner has written it: an earlier owner of
 * an older software version writes without a condition, so that its last write may arrive later.
 */
async function checkStatus(
  rows: WaveRows,
  { wave, loadedAt, status }: TrackedWave,
): Promise<void> {
  const isDue = monotonicMs() - loadedAt >= STATUS_CHECK_AFTER_MS
  if (status.isChecked || status.state === undefined || !isDue) return
  const version = await rows.readStatusVersion(wave.id)
  if (version === undefined) return
  status.isChecked = true
  if (version === status.version) return
  status.version = version
  status.state = undefined
}
