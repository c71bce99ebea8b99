/** The interface of target agents, through which the owner of a service uses its targets. */
import type { Task } from '../jobs/index.js'
import type { Target } from '../ports/index.js'
import type { Room } from './room.js'
import type { Placement } from './targetRuns.js'

/** Reason why a target gets no new tasks at all. */
export type TargetHold =
  | 'gone'
  | 'unheard'
  | 'unlisted'
  | 'cordoned'
  | 'silent'
  | 'draining'
  | 'evacuating'
  | 'paused'
  | 'unread'
  | 'unwanted'
  | 'noAuthority'

/** An owner's agent for one target. */
export interface TargetAgent {
  readonly target: Target
  /** Runs on the target as far as known, by task name. */
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** Reason why the target gets no new tasks now; undefined if it takes them. */
  hold(): TargetHold | undefined
  /** Whether the target takes new tasks now. */
  isUsable(): boolean
  /**
   * Number of times that the fencing token was raised within this term, including those for
   * earlier incarnations under the same id.
   */
  tokenOffset(): number
  /** Monotonic time until which the target gets no new tasks after a refusal, in ms. */
  pausedUntil(): number
  /** Whether a report of the target to this owner had all ends that were left. */
  hasListedAll(): boolean
  /**
   * Whether the runs on the target are known: it has reported all its ends to this owner, is
   * gone, or its lease has expired.
   */
  isStateKnown(): boolean
  /** Monotonic time of the first report of this incarnation, in ms; Infinity before. */
  firstReportAt(): number
  /** Monotonic time at which the lease expires unless it is extended, in ms. */
  leaseExpiresAt(): number
  /** Whether the target has reported and is neither silent nor gone. */
  isAnswering(): boolean
  /** Whether the next poll waits until ends that the target has listed are durable. */
  isAwaitingProgress(): boolean
  /** Whether a call has failed since the last answer, or at all if none has been answered. */
  isSilent(): boolean
  /** Whether the target is being evacuated and gets no new tasks. */
  evacuating: boolean
  /** Whether operators have cordoned the target's data hall, so that it gets no new tasks. */
  isCordoned(): boolean
  /** Whether the list of targets shows the target; if not, it gets no new tasks. */
  listed: boolean
  /** Applies the target's current entry in the list. */
  update(target: Target): void
  /** Places the task on the target and orders its start. */
  start(task: Task, run: number, ticket: string): void
  /** Places a second run of the task on the target and orders its start. */
  startCopy(task: Task, run: number, ticket: string): void
  /** Orders the run of the task to stop, unless that was done before. */
  stop(name: string): void
  /** Whether a crash suspect is placed on the target. */
  isIsolated(): boolean
  /** Whether a run is starting or not yet known to be stable. */
  hasRecentStart(): boolean
  /** Number of starts that can be queued now without a long wait, and that a cold target may get. */
  startsLeft(): number
  /** Number of runs in the last report whose jobs are held; they have no placement. */
  heldRuns(): number
  /** Processor room of the runs in the last report without lasting ones, in thousandths of a core. */
  reportedCpu(): number
  /** Adopts held runs whose jobs have become known since. */
  adoptKnown(): void
  /** Orders the speed of a task that uses spare processor time, in percent of its usual speed. */
  pace(name: string, percent: number): void
  /** Marks the target as gone: all its runs are over. */
  markGone(reason: string): void
  /** Stops calling the target; resolves once all calls have ended. */
  close(): Promise<void>
}
