/** Organisations of a run: their keys and maxima, which faults change, and what they may do. */
import type { Fault } from './plan.js'

/** Time after a change by which every node that can be reached applies it, in ms. */
const IN_FORCE_MS = 3000
/** Time after which no node uses an earlier maximum, even one that was cut off or paused, in ms. */
const SURELY_IN_FORCE_MS = 15_000
/** Least maximum, and the range above it, in thousandths of a core; tasks need up to 900. */
const LEAST_MAXIMUM = 2000
const MAXIMUM_RANGE = 4000
/** Processor room in use, as a share of the maximum, below which a quota holds up no task. */
const FREE_SHARE = 0.5

/** An organisation. */
export interface SoakOrganisation {
  name: string
  /** Key that its callers use, with the time since which it is in the configuration, in ms. */
  key: string
  keySince: number
  /** Keys that were taken away, with the time, in ms. */
  takenKeys: { key: string; at: number }[]
  maximumCpu: number
  /** Larger maxima that were lowered, with the time, in ms. */
  earlierMaxima: { cpu: number; at: number }[]
  /** Processor room in use on all targets, in thousandths of a core. */
  usedCpu: number
}

/** The organisations of a run; none in a run without keys. */
export interface SoakOrganisations {
  all: SoakOrganisation[]
  /** The entries of the configuration; undefined without organisations. */
  entries(): object[] | undefined
  /** Replaces the key of one organisation. */
  replaceKey(fault: Fault): void
  /** Raises or lowers the maximum of one organisation. */
  changeMaximum(fault: Fault): void
}

/** Creates so many organisations. */
export function createOrganisations(count: number): SoakOrganisations {
  const all = Array.from({ length: count }, (_, index): SoakOrganisation => ({
    name: `organisation-${index + 1}`,
    key: `soak-key-${index + 1}-0`,
    keySince: -Infinity,
    takenKeys: [],
    maximumCpu: LEAST_MAXIMUM + (MAXIMUM_RANGE * (index + 1)) / count,
    earlierMaxima: [],
    usedCpu: 0,
  }))
  const pick = ({ which }: Fault): SoakOrganisation | undefined => all[which % all.length]

  return {
    all,
    entries: () =>
      count === 0
        ? undefined
        : all.map(({ name, key, maximumCpu }) => ({
            name,
            api_keys: [key],
            weight: 1,
            maximum: { cpu: maximumCpu, mem_mb: 0, gpu: 0 },
          })),
    replaceKey(fault) {
      const organisation = pick(fault)
      if (!organisation) return
      const { key, takenKeys } = organisation
      takenKeys.push({ key, at: performance.now() })
      organisation.keySince = performance.now()
      organisation.key = key.replace(/\d+$/, String(takenKeys.length))
    },
    changeMaximum(fault) {
      const organisation = pick(fault)
      if (!organisation) return
      const cpu = Math.round(LEAST_MAXIMUM + MAXIMUM_RANGE * fault.level)
      const before = { cpu: organisation.maximumCpu, at: performance.now() }
      if (cpu < before.cpu) organisation.earlierMaxima.push(before)
      organisation.maximumCpu = cpu
    },
  }
}

/** Whether all nodes that can be reached know a change that was made at this time. */
export const isInForce = (at: number): boolean => performance.now() - at > IN_FORCE_MS

/** The highest maximum that may be in force on some node, in thousandths of a core. */
export function highestMaximum({ maximumCpu, earlierMaxima }: SoakOrganisation): number {
  const since = performance.now() - SURELY_IN_FORCE_MS
  const earlier = earlierMaxima.filter(({ at }) => at > since).map(({ cpu }) => cpu)
  return Math.max(maximumCpu, ...earlier)
}

/** Whether the quota leaves enough room for a task to start, whoever divides it. */
export const hasFreeQuota = ({ usedCpu, maximumCpu }: SoakOrganisation): boolean =>
  usedCpu < maximumCpu * FREE_SHARE
