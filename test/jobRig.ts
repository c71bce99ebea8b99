/** In-memory store, simulated targets and configuration for tests of owners without a network. */
import type { Feature } from '../src/config/index.js'
import type {
  Configuration,
  Queue,
  Resources,
  RowStore,
  Target,
  TargetOrders,
  VmCloud,
} from '../src/ports/index.js'
import type { ConfigurationHolder, TargetList } from '../src/directory/index.js'
import {
  jobSchema,
  progressKey,
  decodeEnded,
  decodeProgress,
  endedKey,
  intakeKey,
  encodeJob,
} from '../src/jobs/index.js'
import type { JobMemory, JobSpec, StepSpec } from '../src/jobs/index.js'
import type { Authority } from '../src/ownership/index.js'
import { createServiceOwner } from '../src/scheduler/index.js'
import type { ServiceOwner } from '../src/scheduler/index.js'
import { createMemoryLogger, sleep } from '../src/shared/index.js'
import type { Logger } from '../src/shared/index.js'
import { createRowTable } from '../playground/sim/rowTable.js'
import { createSimOrders } from '../playground/sim/simLinks.js'
import { createSimTarget } from '../playground/sim/simTarget.js'
import type { RunLedger } from '../playground/sim/runLedger.js'
import type { SimTarget, SimTaskSpec } from '../playground/sim/simTarget.js'

export const SERVICE = 'svc'
/** Node on which the owners run. */
export const NODE = 'n'
export const QUEUE: Queue = {
  name: 'queue',
  host: 'h.example',
  pathPrefix: '/q/',
  service: SERVICE,
  priority: 0,
  maxAttempts: 2,
  stretch: 1.5,
  latencyMs: 500,
  advice: undefined,
}
export const CAPACITY = { cpu: 4000, memMb: 10_000, gpu: 0 }

const EPOCH = { table: 'epochs', part: SERVICE, key: 'epoch' }

let nextId = 0

/** A job for {@link QUEUE}; by default it has one step of two tasks. */
export function makeJob(
  task: SimTaskSpec,
  steps: Partial<StepSpec>[] = [{ count: 2 }],
  more: Partial<JobSpec> = {},
): JobSpec {
  nextId++
  return jobSchema.parse({
    id: nextId.toString(16).padStart(16, '0'),
    queue: QUEUE.name,
    service: SERVICE,
    spec: JSON.stringify(task),
    steps: steps.map((step) => ({
      cpu: task.cpu ?? 0,
      estimateMs: task.ms ?? 0,
      ...step,
    })),
    ...more,
  })
}

export interface JobRig {
  table: ReturnType<typeof createRowTable>
  targets: Map<string, SimTarget>
  listed: Map<string, Target>
  /** Monotonic time since which owners have read the list of targets without a gap, in ms. */
  listGapFreeSince: number
  /** Whether every node reads the rows of targets in the parts of nodes. */
  areNodeRostersRead: boolean
  ledger: RunLedger
  log: ReturnType<typeof createMemoryLogger>
  /** Node of the owners that are started next. */
  node: string
  /** How owners reach targets; by default through direct calls in the process. */
  orders: TargetOrders
  /** Organisations with their maxima; undefined for none. */
  organisations: Configuration['organisations']
  /** Cordoned data halls, each with the time since which the owner knows, in ms (monotonic). */
  cordons: Map<string, number>
  /** Cordons a data hall, or lifts its cordon, and notifies the owners. */
  setCordoned(hall: string, isCordoned: boolean): void
  /** Whether owners know the settings of {@link QUEUE} from a configuration. */
  isQueueKnown: boolean
  /** Memory for the jobs of owners that are started; undefined for no limit. */
  memory: JobMemory | undefined
  /** Optional features of owners that are started. */
  features: ReadonlySet<Feature>
  /** List of VMs that owners read; undefined if there is none. */
  cloud: VmCloud | undefined
  addTarget(
    id: string,
    more?: Partial<Target>,
    simOptions?: Partial<Parameters<typeof createSimTarget>[0]>,
  ): SimTarget
  /** Changes the capacity in the list, but not that of the simulated target. */
  setListedCapacity(id: string, capacity: Resources): void
  /** Called when a target crashes. */
  onCrash: (id: string) => void
  /** Replaces the entry of a target on the list and notifies the owners. */
  setListEntry(entry: Target): void
  /** Removes the entry of a target from the list and notifies the owners. */
  removeListEntry(id: string): void
  /**
   * Starts an owner with the next term; the store refuses writes of earlier terms. Resolves once
   * the owner has read the jobs of the previous owner.
   */
  startOwner(predecessorMayLive?: boolean): Promise<RigOwner>
  /** The same, but resolves as soon as the owner runs. */
  startOwnerWithoutWaiting(predecessorMayLive?: boolean): Promise<RigOwner>
  /** Writes a job to the store and offers it to the owner. */
  submit(owner: ServiceOwner, job: JobSpec): void
  outcomeOf(job: JobSpec): string | undefined
  /** Targets that are suspect according to the log, sorted by id. */
  suspects(): string[]
  /** Waits until all jobs have an outcome in the store; false if not within `ms`. */
  waitForOutcomes(jobs: JobSpec[], ms: number): Promise<boolean>
  stop(): Promise<void>
}

export interface RigOwner extends ServiceOwner {
  /** Set to false to withdraw the owner's right to send orders. */
  live: boolean
  /** Set to false for an owner that cannot confirm its lease in the store. */
  confirmed: boolean
  lostBecause: string | undefined
}

/**
 * Creates a rig without targets.
 * @param makeList creates the list of targets; by default it holds what `addTarget` adds
 */
export function createJobRig(
  makeList?: (store: RowStore, log: Logger) => TargetList,
): JobRig {
  const table = createRowTable()
  const targets = new Map<string, SimTarget>()
  const listed = new Map<string, Target>()
  const ledger: RunLedger = { entries: [] }
  const log = createMemoryLogger()
  const listeners = new Set<() => void>()
  const configurationListeners = new Set<() => void>()
  const owners: RigOwner[] = []
  let term = 0

  const configuration: ConfigurationHolder = {
    current: () =>
      rig.organisations && {
        version: 1,
        queues: [QUEUE],
        services: new Map(),
        limits: { headerBytes: 0, bodyBytes: 0, headerMs: 0, idleMs: 0 },
        organisations: rig.organisations,
        invalidParts: [],
      },
    waves: () => [],
    cordons: () => rig.cordons,
    match: () => QUEUE,
    lastKnownQueue: () => (rig.isQueueKnown ? QUEUE : undefined),
    organisationOfKey: () => undefined,
    freshAt: () => performance.now(),
    subscribe(listener) {
      configurationListeners.add(listener)
      return () => void configurationListeners.delete(listener)
    },
    stop: async () => undefined,
  }
  const targetList: TargetList = makeList?.(table.forNode(NODE), log) ?? {
    ready: Promise.resolve(),
    byId: () => listed,
    freshAt: () => performance.now(),
    gapFreeSince: () => rig.listGapFreeSince,
    unreadableSince: () => undefined,
    subscribe(listener) {
      listeners.add(listener)
      return () => void listeners.delete(listener)
    },
    stop: async () => undefined,
  }
  const notifyListeners = (): void => {
    for (const listener of listeners) listener()
  }

  const rig: JobRig = {
    table,
    targets,
    listed,
    listGapFreeSince: -Infinity,
    areNodeRostersRead: true,
    ledger,
    log,
    node: NODE,
    orders: createSimOrders(targets),
    organisations: undefined,
    cordons: new Map(),
    isQueueKnown: true,
    memory: undefined,
    features: new Set(),
    setCordoned(hall, isCordoned) {
      if (isCordoned) rig.cordons.set(hall, performance.now())
      else rig.cordons.delete(hall)
      for (const listener of configurationListeners) listener()
    },
    cloud: undefined,
    onCrash: () => undefined,
    addTarget(id, more = {}, simOptions = {}) {
      const target = createSimTarget({
        id,
        capacity: more.capacity ?? CAPACITY,
        ledger,
        ...simOptions,
        onCrash: () => rig.onCrash(id),
      })
      targets.set(id, target)
      listed.set(id, {
        id,
        lifeStartMs: target.lifeStartMs,
        service: SERVICE,
        address: `${id}:1`,
        hall: 'h1',
        draining: false,
        capacity: CAPACITY,
        labels: ['r1-1'],
        ...more,
      })
      notifyListeners()
      return target
    },
    setListedCapacity: (id, capacity) =>
      rig.setListEntry({ ...listed.get(id)!, capacity }),
    setListEntry(entry) {
      listed.set(entry.id, entry)
      notifyListeners()
    },
    removeListEntry(id) {
      listed.delete(id)
      notifyListeners()
    },
    async startOwner(predecessorMayLive) {
      const owner = await rig.startOwnerWithoutWaiting(predecessorMayLive)
      await owner.inheritedRead
      return owner
    },
    async startOwnerWithoutWaiting(predecessorMayLive = false) {
      term++
      const version = table.put(EPOCH, String(term))
      const state = {
        live: true,
        confirmed: true,
        lostBecause: undefined as string | undefined,
      }
      const authority: Authority = {
        service: SERVICE,
        node: rig.node,
        term,
        predecessorMayLive,
        predecessorLeaseOverAt: -Infinity,
        epoch: () => ({ ...EPOCH, version }),
        adoptEpoch: (rows) =>
          rows.some((row) => row.table === EPOCH.table && row.version === version),
        mayOrder: () => state.live,
        isConfirmed: () => state.live && state.confirmed,
        leaseLeftMs: () => (state.live && state.confirmed ? Infinity : 0),
        areNodeRostersRead: () => rig.areNodeRostersRead,
        isLost: () => state.lostBecause !== undefined,
        markLost(reason) {
          state.live = false
          state.lostBecause ??= reason
        },
      }
      const owner = await createServiceOwner({
        store: table.forNode(rig.node),
        orders: rig.orders,
        cloud: rig.cloud,
        advice: undefined,
        configuration,
        targets: targetList,
        authority,
        features: rig.features,
        ...(rig.memory && { memory: rig.memory }),
        log,
        demandGrown: () => undefined,
      })
      const withState = Object.assign(state, owner) as unknown as RigOwner
      owners.push(withState)
      return withState
    },
    submit(owner, job) {
      owner.offer(job, table.put(intakeKey(job.queue, job.id), encodeJob(job)))
    },
    outcomeOf(job) {
      const ended = table.get(endedKey(job.queue, job.id))
      if (ended) return decodeEnded(ended.value)?.outcome
      const row = table.get(progressKey(SERVICE, job.id))
      return row && decodeProgress(row.value)?.outcome
    },
    suspects() {
      const found = new Set<string>()
      for (const { name, fields } of log.events) {
        if (name === 'targetSuspect') found.add(String(fields['target']))
        if (name === 'targetTrusted') found.delete(String(fields['target']))
      }
      return [...found].sort()
    },
    async waitForOutcomes(jobs, ms) {
      const endsAt = performance.now() + ms
      while (performance.now() < endsAt) {
        if (jobs.every((job) => rig.outcomeOf(job) !== undefined)) return true
        await sleep(20)
      }
      return false
    },
    async stop() {
      await Promise.all(owners.map((owner) => owner.stop(false)))
      await targetList.stop()
    },
  }
  return rig
}

/**
 * Checks what the targets did against the guarantees: no task has two runs at once, and none
 * starts again after it was done. Returns a description of the first violation.
 * @param crashed targets that crashed; runs on them count as ended, and a task that was done there
 *   may run again
 * @param unreachable targets that were unreachable for longer than a lease; the owner may not know
 *   that a task was done there and may run it again
 */
export function findGuaranteeViolation(
  ledger: RunLedger,
  crashed: ReadonlySet<string> = new Set(),
  unreachable: ReadonlySet<string> = new Set(),
): string | undefined {
  const active = new Map<string, string>()
  const done = new Set<string>()
  for (const { what, task, run, target } of ledger.entries) {
    const other = active.get(task)
    if (what !== 'start') {
      if (other === target) active.delete(task)
      if (what === 'done' && !crashed.has(target) && !unreachable.has(target))
        done.add(task)
      continue
    }
    if (other !== undefined && !crashed.has(other)) {
      return `${task} run ${run} started on ${target} while it ran on ${other}`
    }
    if (done.has(task)) return `${task} run ${run} started on ${target} after it was done`
    active.set(task, target)
  }
  return undefined
}
