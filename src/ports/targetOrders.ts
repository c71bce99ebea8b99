/** Interface for orders to targets, the VMs that run tasks under leases. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'

/** Longest time for which a target counts as cold, in ms; a larger value is taken for an error. */
export const MAX_COLD_MS = 60_000

/** One incarnation of a VM in the target list. */
export interface Target {
  /** The next incarnation of the VM may reuse it; unique only together with `lifeStartMs`. */
  id: string
  /** Start of the incarnation, in ms since 1970; 0 if unknown. */
  lifeStartMs: number
  service: string
  address: string
  hall: string
  draining: boolean
  capacity: Resources
  labels: string[]
  /** Time for which it stays slow after its entry was written, in ms; 0 or undefined if not cold. */
  coldMs?: number
}

/** Resources that a task needs or a target has. */
export interface Resources {
  /** Thousandths of a core. */
  cpu: number
  memMb: number
  gpu: number
}

/** A run that a target reports as present. */
export interface ReportedRun {
  task: string
  run: number
  /** Checkpoint to resume from; empty when there is none. */
  checkpoint: string
  /**
   * Progress of the run, in percent. For a task that runs until it is stopped, 100 means that it
   * is fully operational.
   */
  percent: number
  /** Tail latency in ms of a task that serves users, else its processor use in thousandths. */
  load: number
}

/** How a run ended. */
export type RunEndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The end of a run, which the target lists until it is acknowledged. */
export interface ReportedEnd {
  /** Sequence number, which rises from 1 within an incarnation of the target. */
  seq: number
  task: string
  run: number
  kind: RunEndKind
  checkpoint: string
}

/** Answer to {@link TargetOrders.sync}. */
export interface TargetReport {
  /** Start of the incarnation that answers, in ms since 1970; 0 if unknown. */
  lifeStartMs: number
  /** Monotonic time of the target, in ms. */
  clockMs: number
  runs: ReportedRun[]
  ends: ReportedEnd[]
  /** Whether no further ends are left at the target; it lists a limited number in one report. */
  listsAllEnds: boolean
}

/** Reason of a refused start; `other` stands for one that this version does not know. */
export type StartRefusal =
  'fenced' | 'superseded' | 'expired' | 'full' | 'ticket' | 'other'

/** An order for one incarnation of a target. */
export interface BoundOrder {
  /**
   * Start of the incarnation that the order is for, in ms since 1970. No other one receives it.
   * Undefined for an order of a node of an earlier software version, which any may receive.
   */
  lifeStartMs?: number | undefined
}

/** A start order. */
export interface StartOrder extends BoundOrder {
  task: string
  run: number
  spec: string
  /** End of the lease on the target's clock. */
  leaseUntilMs: number
  token: number
  checkpoint: string
  ticket: string
}

/** An order to stop a run. */
export interface StopOrder extends BoundOrder {
  task: string
  run: number
  token: number
}

/** An order that limits a run to a share of its usual speed, in percent. */
export interface PaceOrder extends StopOrder {
  percent: number
}

export type StartAnswer =
  | { accepted: true; clockMs: number }
  | { accepted: false; clockMs: number; reason: StartRefusal }

/**
 * What is known after a failed order. `notDone`: it had no effect. `unanswered`: it may have
 * taken effect. `gone`: another incarnation answers at the address. `fenced`: the target has
 * seen a higher token and did nothing. `notSent`: it has not left this node, so that it had no effect and
 * tells nothing of the target.
 */
export type OrderFailure = 'notDone' | 'unanswered' | 'gone' | 'fenced' | 'notSent'

export interface OrderError {
  failure: OrderFailure
  reason: string
  cause: PlatformError
}

export type OrderResult<T> = Promise<Result<T, OrderError>>

/**
 * Renews the leases of everything on the target and reads its state. If another incarnation answers
 * than the one that the order is for, only its state is read.
 */
export interface SyncOrder extends BoundOrder {
  token: number
  /** The target forgets the ends up to this sequence number. */
  ackedSeq: number
  leaseUntilMs: number | undefined
  /** Longest time that the target waits for an end of a run before it answers, in ms. */
  waitMs: number
}

/**
 * A pair of connections to one target. A call is abandoned `timeoutMs` after the target could
 * have answered.
 */
export interface TargetLink {
  start(order: StartOrder, timeoutMs: number): OrderResult<StartAnswer>
  /** Returns true when the target took the order, false when it refused the token. */
  stop(order: StopOrder, timeoutMs: number): OrderResult<boolean>
  pace(order: PaceOrder, timeoutMs: number): OrderResult<boolean>
  /** Address of the node through which the next call goes; undefined for a direct call. */
  forwarder?(): string | undefined
  /** Number of starts that may be sent before the first is answered; 1 if undefined. */
  startsAtOnce?(): number
  sync(order: SyncOrder, timeoutMs: number): OrderResult<TargetReport>
  close(): void
}

/** Opens links to targets. */
export interface TargetOrders {
  open(target: Pick<Target, 'id' | 'address'>): TargetLink
}
