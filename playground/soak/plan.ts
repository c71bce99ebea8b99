/** What happens in a run of the soak: drawn from a seed, or read from a file. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { createRandom, exponential } from '../random.js'
import type { Random } from '../random.js'

/** Kinds of faults by what they hit, each with its usual length in ms. */
const FAULT_LENGTHS = {
  node: {
    nodePause: 3000,
    nodeKill: 1500,
    nodeLost: 12_000,
    allNodesKill: 500,
  },
  store: {
    storeSlow: 3000,
    storeDown: 2500,
    storeBroken: 1500,
    storeAnswersLost: 2500,
    storeForgets: 100,
    storePartDown: 3000,
    storeLinkSlow: 3000,
    storeLinkReset: 100,
    storeLinkSilent: 100,
    storeLinkCut: 3000,
  },
  target: {
    targetFails: 5000,
    targetHangs: 4000,
    targetSlow: 5000,
    targetCrash: 3000,
    targetDrains: 4000,
    targetUnlisted: 4000,
    targetLinkSlow: 3000,
    targetLinkReset: 100,
    targetLinkSilent: 100,
    targetLinkCut: 2500,
  },
  pool: {
    poolFails: 2500,
    poolHangs: 2500,
    poolSlow: 4000,
    poolShrinks: 15_000,
    poolShrinksToBad: 15_000,
  },
  planned: {
    nodeReload: 100,
    nodeStop: 1000,
    configurationChanges: 100,
    foreignEntry: 4000,
    entryOverwritten: 3000,
  },
} as const

type Groups = typeof FAULT_LENGTHS
/** What a fault hits. */
export type FaultGroup = keyof Groups
/** One kind of fault. */
export type FaultKind = { [G in FaultGroup]: keyof Groups[G] }[FaultGroup]

const kindsOf = (group: FaultGroup): FaultKind[] =>
  Object.keys(FAULT_LENGTHS[group]) as FaultKind[]
const GROUPS = Object.keys(FAULT_LENGTHS) as FaultGroup[]

/** What faults of a kind hit. */
export const groupOf = (kind: FaultKind): FaultGroup =>
  GROUPS.find((group) => kindsOf(group).includes(kind))!

const faultSchema = z.object({
  /** Ms after the first job. */
  at: z.number(),
  kind: z.enum(GROUPS.flatMap(kindsOf) as [FaultKind, ...FaultKind[]]),
  /** Which of those that it may hit: an index, taken modulo their number. */
  which: z.number().int(),
  forMs: z.number(),
  /** From 0 to 1: how bad, or which variant. */
  level: z.number(),
})
/** One fault of a run. */
export type Fault = z.infer<typeof faultSchema>

const planSchema = z.object({
  seed: z.number().int(),
  nodes: z.number().int().min(1),
  /** Targets in each pool of a queue. */
  targets: z.number().int().min(1),
  /** VMs in the pool of idle ones; without any, nodes cannot move VMs. */
  idleVms: z.number().int(),
  /** Jobs a second, over all queues. */
  jobsPerSecond: z.number(),
  /** Time in which jobs come and faults begin, in ms. */
  lengthMs: z.number(),
  faults: z.array(faultSchema),
})
/** All that is decided about a run before it begins. */
export type SoakPlan = z.infer<typeof planSchema>

/** Mean time between two faults that hit a target or a pool, and planned changes, in ms. */
const TARGET_GAP_MS = 2500
const POOL_GAP_MS = 9000
const PLANNED_GAP_MS = 5000
/** Mean time between two faults of nodes or the store within one series, in ms. */
const SERIES_GAP_MS = 1200
/** Series of faults of nodes and the store, and the calm between two, in ms. */
const SERIES_MS = 7000
const CALM_MS = 12_000
/** Time before the first series, so that each run begins with a calm stretch, in ms. */
const FIRST_CALM_MS = 6000

function drawFault(random: Random, groups: FaultGroup[], at: number): Fault {
  const kinds = groups.flatMap((group) => kindsOf(group).map((kind) => ({ group, kind })))
  const { group, kind } = kinds[Math.floor(random() * kinds.length)]!
  const usualMs = (FAULT_LENGTHS[group] as Record<string, number>)[kind]!
  const forMs = Math.round(usualMs * (0.4 + 1.6 * random()))
  const which = Math.floor(random() * 1000)
  return { at: Math.round(at), kind, which, forMs, level: random() }
}

/** Faults that come one after the other, each with its own length, so that they overlap. */
function drawSeries(opts: {
  random: Random
  groups: FaultGroup[]
  gapMs: number
  from: number
  until: number
}): Fault[] {
  const faults: Fault[] = []
  let at = opts.from + exponential(opts.random, opts.gapMs)
  while (at < opts.until) {
    faults.push(drawFault(opts.random, opts.groups, at))
    at += exponential(opts.random, opts.gapMs)
  }
  return faults
}

/** Series of faults of nodes and the store, with calm between them. */
function drawStorms(random: Random, lengthMs: number): Fault[] {
  const faults: Fault[] = []
  let from = FIRST_CALM_MS
  while (from < lengthMs) {
    const until = Math.min(lengthMs, from + SERIES_MS * (0.5 + random()))
    const groups: FaultGroup[] = ['node', 'store']
    faults.push(...drawSeries({ random, groups, gapMs: SERIES_GAP_MS, from, until }))
    from = until + CALM_MS * (0.7 + 0.6 * random())
  }
  return faults
}

/** Draws the plan of a seed; the same seed gives the same plan. */
export function drawPlan(seed: number, lengthMs: number): SoakPlan {
  const random = createRandom(seed)
  const whole = { random, from: 1000, until: lengthMs }
  return {
    seed,
    nodes: 2 + Math.floor(random() * 3),
    targets: 1 + Math.floor(random() * 4),
    idleVms: random() < 0.5 ? 0 : 2,
    jobsPerSecond: 2 + 4 * random(),
    lengthMs,
    faults: [
      ...drawStorms(random, lengthMs),
      ...drawSeries({ ...whole, groups: ['target'], gapMs: TARGET_GAP_MS }),
      ...drawSeries({ ...whole, groups: ['pool'], gapMs: POOL_GAP_MS }),
      ...drawSeries({ ...whole, groups: ['planned'], gapMs: PLANNED_GAP_MS }),
    ].sort((a, b) => a.at - b.at),
  }
}

/** Reads a plan that was kept. */
export function readPlan(file: string): SoakPlan {
  return planSchema.parse(JSON.parse(readFileSync(file, 'utf8')))
}
