/** Waves of maintenance of a run. */
import { sleep } from '../../src/shared/index.js'
import type { SimPlatform } from '../sim/wireServer.js'
import type { Fault } from './plan.js'
import type { Report } from './runChecks.js'

/** Time allowed for a wave, in s, and the most VMs in a wave. */
const DURATION_S = 30
const VMS_PER_WAVE = 3
/** Interval at which the status of a wave is read, in ms. */
const STATUS_INTERVAL_MS = 200

/** Orders and checks waves. */
export interface Waves {
  orderWave(fault: Fault): void
  /**
   * Checks that no wave has more VMs in maintenance than it allows, and that none is said to be
   * completed too early; to be called periodically.
   */
  check(): void
  /** Waits until the status of all waves is completed; reports those that are not in time. */
  settle(ms: number): Promise<void>
}

/** Creates the checks without any wave. */
export function createWaves(platform: SimPlatform, report: Report): Waves {
  const { vms, maintained } = platform
  const ordered = new Map<number, { names: string[]; maximum: number }>()

  const isCompleted = (id: number): boolean => platform.waveStatus(id) === 'completed'

  const isInMaintenance = (name: string, id: number): boolean => {
    const vm = vms.find((each) => each.name === name)
    return (
      vm?.state === 'upkeep' &&
      maintained.findLast((each) => each.vm === name)?.wave === id
    )
  }

  const unmaintained = (names: string[], id: number): string[] =>
    names.filter(
      (name) => !maintained.some((each) => each.vm === name && each.wave === id),
    )
  /** Waves that were said to be completed too early. */
  const early = new Set<number>()

  function checkStatus(id: number, names: string[]): void {
    if (early.has(id) || !isCompleted(id)) return
    const left = unmaintained(names, id)
    if (left.length === 0) return
    early.add(id)
    report('wave said to be completed', `${id}: ${left}`)
  }

  return {
    orderWave({ which, level }) {
      const id = ordered.size + 1
      const names = Array.from(
        { length: VMS_PER_WAVE },
        (_, each) => vms[(which + each) % vms.length]!.name,
      )
      const wave = { names: [...new Set(names)], maximum: level < 0.7 ? 1 : 2 }
      ordered.set(id, wave)
      platform.putWave(id, wave.names, DURATION_S, wave.maximum)
    },
    check() {
      for (const [id, { names, maximum }] of ordered) {
        const inMaintenance = names.filter((name) => isInMaintenance(name, id))
        if (inMaintenance.length > maximum)
          report('wave too wide', `${id}: ${inMaintenance}`)
        checkStatus(id, names)
      }
    },
    async settle(ms) {
      const endsAt = performance.now() + ms
      for (const [id, { names }] of ordered) {
        while (!isCompleted(id) && performance.now() < endsAt)
          await sleep(STATUS_INTERVAL_MS)
        if (!isCompleted(id))
          report('wave not carried out', `${id}: ${unmaintained(names, id)}`)
        else checkStatus(id, names)
      }
    },
  }
}
