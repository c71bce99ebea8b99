/** What the owner of a service sees of its targets, and does with them. */
import type { Task } from '../jobs/index.js'
import type { Target } from '../ports/index.js'
import type { Room } from './room.js'
import type { Placement } from './targetRuns.js'

/** Why a target gets nothing new, whatever a task asks for. */
export type TargetHold =
  | 'gone'
  | 'unheard'
  | 'unlisted'
  | 'silent'
  | 'draining'
  | 'evacuating'
  | 'paused'
  | 'unread'
  | 'unwanted'
  | 'noAuthority'

/** What an owner does with one target. */
export interface TargetAgent {
  readonly target: Target
  /** What runs on it, by name of the task, as far as is known. */
  readonly placements: ReadonlyMap<string, Placement>
  readonly room: Room
  /** What keeps everything new from it; undefined when it takes orders now. */
  hold(): TargetHold | undefined
  /** Whether nothing keeps everything new from it. */
  isUsable(): boolean
  /** How often the token was raised within this term, earlier lives of the id included. */
  tokenOffset(): number
  /** Steady time up to which it is paused, in ms. */
  pausedUntil(): number
  /** Whether it has been heard by this owner, or everything on it is surely dead. */
  isSettled(): boolean
  /** Steady time at which this life was first heard by this owner, in ms; Infinity before. */
  firstReportAt(): number
  /** Steady time by which it is settled at the latest, in ms, unless its lease is extended. */
  settledBy(): number
  /** Whether it last answered. */
  isAnswering(): boolean
  /** Whether a call has failed since the last answer, or since the first call if there was none. */
  isSilent(): boolean
  /** No new starts while true: it is being emptied on purpose. */
  evacuating: boolean
  /** Whether the list of targets shows it; no new starts while it does not. */
  listed: boolean
  /** Takes what the list says of it now. */
  update(target: Target): void
  /** Places the task there and orders its start. */
  start(task: Task, run: number, ticket: string): void
  stop(name: string): void
  /** Whether a crash suspect is placed there. */
  isIsolated(): boolean
  /** Whether a run there is starting or not yet known to be stable. */
  hasRecentStart(): boolean
  /** Starts that it takes now without letting them wait for long behind one another. */
  startsLeft(): number
  /** Runs last reported whose jobs are held, so that they have no placement. */
  heldRuns(): number
  /** Adopts those of them whose jobs have become known since. */
  adoptKnown(): void
  /** Orders how much of its usual speed a task that fills in may have, in percent. */
  pace(name: string, percent: number): void
  /** Every run on it is known to be dead. */
  markGone(reason: string): void
  close(): Promise<void>
}
