/**
 * Targets of the own hall by service, from the rows of jobs and VMs and from the platform's
 * VM list. A target receives new requests only while all of these sources allow it.
 */
import type { ResolvedConfig } from '../config/index.js'
import {
  checkedValue,
  jobKey,
  jobPrefix,
  jobRowSchema,
  acceptsWork,
  vmKey,
  vmPrefix,
  vmRowSchema,
} from '../fleet/index.js'
import type { JobRow, VmRow } from '../fleet/index.js'
import type { Platform, RowWatch } from '../platform/index.js'
import { createStopController, jittered, sleep } from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'
import type { TableHolder } from '../table/index.js'
import { createHealthCheckAssignment } from './healthCheckAssignment.js'
import { createTarget, acceptsRequests } from './target.js'
import type { Target } from './target.js'

/** Targets known to this entry. */
export interface TargetView {
  /** Targets of a service, including those that are leaving. */
  targets(service: string): readonly Target[]
  all(): Iterable<Target>
  /**
   * Every leaving VM, with its generation and the requests of this entry in flight
   * there.
   */
  leaving(): { vm: string; generation: number; inFlight: number }[]
  /** Jobs whose targets have told this entry that they drain. */
  draining(): string[]
  /** Sets the jobs whose targets have told other entries that they drain. */
  setPeerDraining(jobs: ReadonlySet<string>): void
  /** Every stopping job, with the requests of this entry in flight there. */
  stopping(): { job: string; inFlight: number }[]
  /** Whether the platform's VM list has been read and does not contain the VM. */
  isUnlisted(vm: string): boolean
  /** Calls back when targets or their states change. Returns an unsubscriber. */
  subscribe(listener: () => void): () => void
  stop(): Promise<void>
}

/** Options of {@link createTargetView}. */
export interface TargetViewOptions {
  cfg: ResolvedConfig
  platform: Platform
  rows: RowWatch
  table: TableHolder
  /** Other reachable entries of the hall. */
  reachedEntries(): readonly string[]
  /** Tells the other entries at once that a target began or ceased to drain. */
  notifyPeers(): void
  log: Logger
  metrics: Metrics
}

/** Creates the view and starts to watch the rows and to poll the VM list. */
export function createTargetView(opts: TargetViewOptions): TargetView {
  const { cfg, rows, log, metrics } = opts
  const { hall } = cfg.node
  const byJob = new Map<string, Target>()
  const byService = new Map<string, Target[]>()
  const listeners = new Set<() => void>()
  const stopping = createStopController()
  const healthChecks = createHealthCheckAssignment(cfg.node.id, opts.reachedEntries)
  /** Targets without a row that may still run requests of this entry. */
  const removedTargets = new Set<Target>()
  let listedLeaving = new Set<string>()
  let listed: Set<string> | undefined

  function vmOf(job: JobRow): VmRow | undefined {
    return checkedValue(rows.rows.get(vmKey(hall, job.vm)), vmRowSchema)
  }

  function update(keys: Iterable<string>): void {
    const jobs = new Set<string>()
    const vms = new Set<string>()
    for (const key of keys) {
      if (key.startsWith(jobPrefix(hall))) jobs.add(key)
      else vms.add(key)
    }
    for (const key of jobs) updateJob(key)
    for (const target of byJob.values()) {
      if (vms.has(vmKey(hall, target.vm))) updateState(target)
    }
    publishChange()
  }

  function updateJob(key: string): void {
    const row = rows.rows.get(key)
    const job = checkedValue(row, jobRowSchema, () => log.event('rowInvalid', { key }))
    const id = key.slice(jobPrefix(hall).length)
    const known = byJob.get(id)
    if (!job || job.state === 'starting' || job.address === undefined) {
      if (known) remove(known)
      return
    }
    if (known && known.address !== job.address) remove(known)
    const target = byJob.get(id) ?? add(job, job.address)
    updateState(target, job)
  }

  function add(job: JobRow, address: string): Target {
    const { id, vm, incarnation, service, slots } = job
    const target = createTarget({
      identity: { job: id, vm, incarnation, address },
      service,
      slots,
      connectTimeoutMs: cfg.requests.connect_timeout,
      healthIntervalMs: cfg.requests.health_interval,
      isHealthCheckAssigned: () => healthChecks.isAssignedHere(id),
      onDraining: opts.notifyPeers,
      log,
    })
    byJob.set(id, target)
    byService.set(service, [...(byService.get(service) ?? []), target])
    log.event('targetAdded', { job: id, vm, incarnation, address, service })
    return target
  }

  function remove(target: Target): void {
    const { job, vm, service } = target
    target.active = false
    byJob.delete(job)
    const rest = (byService.get(service) ?? []).filter((each) => each !== target)
    byService.set(service, rest)
    log.event('targetRemoved', { job, vm, service, inFlight: target.inFlight })
    removedTargets.add(target)
    void target.close()
  }

  function updateState(target: Target, given?: JobRow): void {
    const checked = given ?? checkedValue(jobRow(target.job), jobRowSchema)
    const vm = checked && vmOf(checked)
    const active =
      checked?.state === 'running' &&
      acceptsWork(vm) &&
      vm?.incarnation === target.incarnation
    if (target.active && !active) {
      const { job, vm: id, service } = target
      log.event('targetLeaving', {
        job,
        vm: id,
        service,
        source: 'row',
        state: vm?.state,
      })
    }
    target.active = active
    target.listedLeaving = listedLeaving.has(`${target.vm}/${target.incarnation}`)
  }

  const jobRow = (id: string) => rows.rows.get(jobKey(hall, id))

  function inFlightBy(keyOf: (target: Target) => string): Map<string, number> {
    for (const target of removedTargets)
      if (target.inFlight === 0) removedTargets.delete(target)
    const counts = new Map<string, number>()
    for (const target of [...byJob.values(), ...removedTargets]) {
      const key = keyOf(target)
      counts.set(key, (counts.get(key) ?? 0) + target.inFlight)
    }
    return counts
  }

  function publishChange(): void {
    const all = [...byJob.values()]
    metrics.targets.set({ state: 'ok' }, all.filter(acceptsRequests).length)
    metrics.targets.set(
      { state: 'leaving' },
      all.filter((t) => !acceptsRequests(t)).length,
    )
    for (const listener of listeners) listener()
  }

  async function pollVmList(): Promise<void> {
    let since = 0
    while (!stopping.signal.aborted) {
      const list = await opts.platform.listVms(hall, since)
      if (list.isOk() && list.value) {
        since = list.value.revision
        listed = new Set(list.value.vms.map((vm) => vm.id))
        const leaving = list.value.vms.filter((vm) => vm.state === 'leaving')
        listedLeaving = new Set(leaving.map((vm) => `${vm.id}/${vm.incarnation}`))
        for (const target of byJob.values()) updateState(target)
        publishChange()
      }
      await sleep(jittered(cfg.platform.poll), stopping.signal)
    }
  }

  update(rows.rows.keys())
  const unsubscribe = rows.subscribe(update)
  const list = pollVmList()

  return {
    targets: (service) => byService.get(service) ?? [],
    all: () => byJob.values(),
    leaving() {
      const counts = inFlightBy((target) => target.vm)
      const leaving: { vm: string; generation: number; inFlight: number }[] = []
      for (const [key, row] of rows.rows) {
        if (!key.startsWith(vmPrefix(hall))) continue
        const vm = checkedValue(row, vmRowSchema)
        if (!vm || acceptsWork(vm)) continue
        const { id, generation } = vm
        leaving.push({ vm: id, generation, inFlight: counts.get(id) ?? 0 })
      }
      return leaving
    },
    draining: () =>
      [...byJob.values()].filter((t) => t.reportsDraining).map((t) => t.job),
    setPeerDraining(jobs) {
      for (const target of byJob.values()) target.setPeerDraining(jobs.has(target.job))
    },
    stopping() {
      const counts = inFlightBy((target) => target.job)
      const stopping: { job: string; inFlight: number }[] = []
      for (const [key, row] of rows.rows) {
        if (!key.startsWith(jobPrefix(hall))) continue
        const job = checkedValue(row, jobRowSchema)
        if (job?.state !== 'stopping') continue
        stopping.push({ job: job.id, inFlight: counts.get(job.id) ?? 0 })
      }
      return stopping
    },
    isUnlisted: (vm) => listed !== undefined && !listed.has(vm),
    subscribe(listener) {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    async stop() {
      unsubscribe()
      stopping.abort()
      await Promise.all(
        [...byJob.values(), ...removedTargets].map((target) => target.close()),
      )
      await list
    },
  }
}
