/** VMs and tasks of the stand-in platform, with drains, reboots and failures. */
import type { ListedVm, Task, TaskSpec } from '../src/platform/index.js'
import type { Random } from './random.js'
import type { Ledger, TargetBehaviour, TargetServer } from './target.js'
import { startTarget } from './target.js'

/** A VM of the stand-in platform. */
interface SimVm extends Omit<ListedVm, 'incarnation'> {
  starts: number
  up: boolean
  /** Operation ids of reboots that have begun, so that a repeated request has no effect. */
  reboots: Set<string>
}

interface SimTask {
  spec: TaskSpec
  state: Task['state']
  incarnation: string
  reason?: string
  target?: TargetServer
}

/** Options of {@link createSimFleet}. */
export interface SimFleetOptions {
  host: string
  random: Random
  ledger: Ledger
  /** Number of slots of a service's targets; 8 by default. */
  slotsOf?: (service: string) => number
  behaviour?: Partial<TargetBehaviour>
  /**
   * Duration of a reboot, in ms.
   * @default 300
   */
  rebootMs?: number
  /**
   * Time from the start of a task until it serves, in ms.
   * @default 50
   */
  taskStartMs?: number
}

/** VMs and tasks of the stand-in platform. */
export interface SimFleet {
  addVm(vm: Omit<ListedVm, 'incarnation' | 'state'>): void
  removeVm(id: string): Promise<void>
  /** The current list of VMs, without lag. */
  list(): ListedVm[]
  tasks(hall: string): Task[]
  /** Starts a task unless it is known. Undefined on success, otherwise why it was refused. */
  startTask(spec: TaskSpec): string | undefined
  stopTask(id: string): Promise<void>
  drain(vm: string): void
  reboot(vm: string, opId: string): void
  /** Fails a VM, and restarts it after `downMs` if given. */
  crash(vm: string, downMs?: number): Promise<void>
  /** Fails a task, like a crash of its process. */
  failTask(id: string): Promise<void>
  /** Sets the state of a VM in the list to `leaving`. */
  markLeaving(vm: string): void
  targetOf(task: string): TargetServer | undefined
  /** Number of changes of VMs, for conditional reads. */
  revision(): number
  /** Number of changes of tasks, for conditional reads. */
  taskRevision(): number
  /** Number of requested reboots by VM. */
  reboots(): Map<string, number>
  /** Services whose tasks are refused. */
  failServices: Set<string>
  stop(): Promise<void>
}

const DEFAULT_REBOOT_MS = 300
const DEFAULT_TASK_START_MS = 50

/** Creates a fleet without VMs. */
export function createSimFleet(opts: SimFleetOptions): SimFleet {
  const vms = new Map<string, SimVm>()
  const tasks = new Map<string, SimTask>()
  const timers = new Set<NodeJS.Timeout>()
  const failServices = new Set<string>()
  let revision = 1
  let taskRevision = 1

  const incarnationOf = (vm: SimVm) => `${vm.id}.${vm.starts}`

  function schedule(ms: number, run: () => void): void {
    const timer = setTimeout(() => {
      timers.delete(timer)
      run()
    }, ms)
    timers.add(timer)
  }

  async function endTasksOn(vm: string): Promise<void> {
    for (const task of tasks.values()) {
      if (task.spec.vm !== vm || task.state === 'stopped') continue
      task.state = 'failed'
      taskRevision++
      task.reason = 'VM restarted'
      const { target } = task
      delete task.target
      await target?.kill()
    }
  }

  async function takeOffline(id: string, downMs: number | undefined): Promise<void> {
    const vm = vms.get(id)
    if (!vm || !vm.up) return
    vm.up = false
    revision++
    await endTasksOn(id)
    if (downMs === undefined) return
    schedule(downMs, () => {
      vm.up = true
      vm.state = 'live'
      vm.starts++
      revision++
    })
  }

  async function startServing(task: SimTask): Promise<void> {
    const { spec } = task
    const vm = vms.get(spec.vm)
    if (task.state !== 'starting' || !vm?.up || incarnationOf(vm) !== task.incarnation)
      return
    const target = await startTarget({
      vm: vm.id,
      incarnation: task.incarnation,
      job: spec.id,
      service: spec.service,
      slots: opts.slotsOf?.(spec.service) ?? 8,
      host: opts.host,
      random: opts.random,
      ledger: opts.ledger,
      behaviour: opts.behaviour ?? {},
    })
    if (task.state !== 'starting') return target.kill()
    task.target = target
    task.state = 'running'
    taskRevision++
  }

  return {
    failServices,
    addVm(vm) {
      vms.set(vm.id, { ...vm, state: 'live', starts: 1, up: true, reboots: new Set() })
      revision++
    },
    async removeVm(id) {
      await takeOffline(id, undefined)
      vms.delete(id)
      revision++
    },
    list: () =>
      [...vms.values()]
        .filter((vm) => vm.up)
        .map(({ id, hall, rack, state, role, cpus, memoryGb, starts }) => {
          const incarnation = `${id}.${starts}`
          return { id, hall, rack, incarnation, state, role, cpus, memoryGb }
        }),
    tasks: (hall) =>
      [...tasks.values()]
        .filter(
          (task) => vms.get(task.spec.vm)?.hall === hall && task.state !== 'stopped',
        )
        .map(({ spec, state, incarnation, reason, target }) => ({
          id: spec.id,
          vm: spec.vm,
          incarnation,
          state,
          ...(target && { address: target.address }),
          ...(reason !== undefined && { reason }),
        })),
    startTask(spec) {
      if (tasks.has(spec.id)) return undefined
      const vm = vms.get(spec.vm)
      if (!vm?.up) return `VM '${spec.vm}' is not up`
      if (failServices.has(spec.service)) return `'${spec.service}' cannot run anywhere`
      const task: SimTask = { spec, state: 'starting', incarnation: incarnationOf(vm) }
      tasks.set(spec.id, task)
      taskRevision++
      schedule(opts.taskStartMs ?? DEFAULT_TASK_START_MS, () => void startServing(task))
      return undefined
    },
    async stopTask(id) {
      taskRevision++
      const task = tasks.get(id)
      if (!task) {
        // Recorded as stopped, so that a start order that arrives later has no effect.
        const spec = { id, vm: '', service: '', cpus: 0, memoryGb: 0, leaseMs: 0 }
        tasks.set(id, { spec, state: 'stopped', incarnation: '' })
        return
      }
      task.state = 'stopped'
      const { target } = task
      delete task.target
      await target?.kill()
    },
    drain(vm) {
      for (const task of tasks.values()) if (task.spec.vm === vm) task.target?.drain()
    },
    reboot(id, opId) {
      const vm = vms.get(id)
      if (!vm || vm.reboots.has(opId)) return
      vm.reboots.add(opId)
      void takeOffline(id, opts.rebootMs ?? DEFAULT_REBOOT_MS)
    },
    crash: (id, downMs) => takeOffline(id, downMs),
    async failTask(id) {
      const task = tasks.get(id)
      if (!task) return
      task.state = 'failed'
      taskRevision++
      const { target } = task
      delete task.target
      await target?.kill()
    },
    markLeaving(id) {
      const vm = vms.get(id)
      if (!vm) return
      vm.state = 'leaving'
      revision++
    },
    targetOf: (task) => tasks.get(task)?.target,
    revision: () => revision,
    taskRevision: () => taskRevision,
    reboots: () => new Map([...vms.values()].map((vm) => [vm.id, vm.reboots.size])),
    async stop() {
      for (const timer of timers) clearTimeout(timer)
      await Promise.all([...tasks.values()].map((task) => task.target?.kill()))
    },
  }
}
