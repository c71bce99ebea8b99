/**
 * Limits the room that an owner requests to what it can use. An owner that is short of processor time
 * or bandwidth keeps only so many tasks running, however many targets it has: with more of them,
 * starts and ends wait in its own queues and the targets stay empty, while other services lack them.
 *
 * The limit follows the room of the tasks that run, by the reports of the targets. It does not end
 * when starts are answered in time again, as they are once the targets are fewer: a limit that came
 * and went with the delay would move most VMs of the fleet back and forth every few seconds.
 */

/** Room that an owner requests as a multiple of the room of its running tasks. */
const HEADROOM = 1.25
/** The same while its targets are full and its starts are answered in time: it may be able to use more. */
const PROBING_HEADROOM = 1.5
/** Time constant of the average of the room in use, in ms. */
const SMOOTHING_MS = 500
/**
 * Time for which a room that was in use counts, in ms: a move of VMs, during which the use drops, and
 * the time to fill them.
 */
const USE_WINDOW_MS = 3000
/** Time constant of a falling limit, in ms: an owner that is behind for a moment keeps its VMs. */
const DECAY_MS = 2000

/** What an owner knows of its room; amounts in thousandths of a core. */
export interface RoomSample {
  /** Monotonic time, in ms. */
  now: number
  /** Room of its targets outside cordoned halls. */
  capacity: number
  /** Room of lasting tasks. */
  lasting: number
  /** Room of all other tasks that run. */
  running: number
  /** Room that all its open and expected tasks need. */
  required: number
  /** Whether tasks wait for room. */
  isFull: boolean
  /** Whether the owner cannot order starts as fast as they become due. */
  isBehind: boolean
  /** Whether it still reads the jobs and runs of its predecessor, so that it starts little. */
  isTakingOver: boolean
}

/** The limit of one owner. */
export interface UsableRoom {
  note(sample: RoomSample): void
  /** Room that the owner can use; Infinity while it keeps up. */
  limit(): number
}

/** Creates the limit of an owner that keeps up so far. */
export function createUsableRoom(): UsableRoom {
  /** Averages of the room of running tasks, within the window. */
  let recentUse: { at: number; running: number }[] = []
  let limit = Infinity
  /** Monotonic time of the last sample, in ms. */
  let notedAt: number | undefined

  function noteUse({ now, running, isTakingOver }: RoomSample): void {
    recentUse = recentUse.filter(({ at }) => now - at < USE_WINDOW_MS)
    // Neither shows how much the owner can use.
    if (running === 0 || isTakingOver) return
    const last = recentUse.at(-1) ?? { at: now, running }
    const lastWeight = Math.exp((last.at - now) / SMOOTHING_MS)
    recentUse.push({ at: now, running: running + (last.running - running) * lastWeight })
  }

  function updateLimit(sample: RoomSample): void {
    const { now, capacity, lasting, required, isFull, isBehind } = sample
    if (!isBehind && required <= limit) {
      limit = Infinity
      return
    }
    if (limit === Infinity) limit = capacity
    if (recentUse.length === 0) return
    const used = lasting + Math.max(...recentUse.map(({ running }) => running))
    const sinceMs = now - (notedAt ?? now)
    const headroom = isFull && !isBehind ? PROBING_HEADROOM : HEADROOM
    limit = Math.max(used * headroom, limit * Math.exp(-sinceMs / DECAY_MS))
  }

  return {
    note(sample) {
      noteUse(sample)
      updateLimit(sample)
      notedAt = sample.now
    },
    limit: () => limit,
  }
}
