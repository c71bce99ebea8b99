/**
 * A target as seen by this entry: load, health, exclusion. One task checks its health.
 */
import type { Client } from 'undici'
import type { Result } from 'neverthrow'
import { createStopController, jittered, monotonicMs, sleep } from '../shared/index.js'
import type { Logger, RillshuntError } from '../shared/index.js'
import { EXCLUDE_AFTER_FAILURES, EXCLUDE_BASE_MS, EXCLUDE_CAP_MS } from './constants.js'
import { createTargetConnections } from './targetConnection.js'
import type { TargetIdentity } from './targetConnection.js'

/** A target. */
export interface Target extends TargetIdentity {
  service: string
  slots: number
  /** Requests of this entry in flight at the target. */
  inFlight: number
  /** Load over all entries, as last reported by the target. */
  reportedLoad: number
  /** Requests of this entry in flight at the time of that report. */
  inFlightAtReport: number
  /** Whether the rows of its job and VM allow new requests. */
  active: boolean
  /** Whether the platform lists the VM as leaving. */
  listedLeaving: boolean
  /** Whether the target has told this entry or another one that it drains. */
  draining: boolean
  /** Whether the target has told this entry that it drains. */
  reportsDraining: boolean
  /** Whether another VM, incarnation or job answered at the address. */
  isMismatched: boolean
  /** Monotonic time in ms until which the target is excluded; 0 when it is not. */
  excludedUntil: number
  failuresInRow: number
  acquire(): Promise<Result<Client, RillshuntError>>
  release(client: Client, reusable: boolean): void
  /** Sets whether the target has told another entry that it drains. */
  setPeerDraining(draining: boolean): void
  /** Records the result of a request or health check. */
  recordAttempt(isSuccess: boolean): void
  close(): Promise<void>
}

/** Options of {@link createTarget}. */
export interface TargetOptions {
  identity: TargetIdentity
  service: string
  slots: number
  connectTimeoutMs: number
  healthIntervalMs: number
  /**
   * Whether this entry is assigned to check the target's health.
   * @default always
   */
  isHealthCheckAssigned?: () => boolean
  /** Called when the target begins or ceases to tell this entry that it drains. */
  onDraining?: () => void
  log: Logger
}

/** Creates a target and starts its health check task. */
export function createTarget(opts: TargetOptions): Target {
  const { identity, log } = opts
  const stopping = createStopController()
  let exclusionsInRow = 0
  let peerDraining = false

  const connections = createTargetConnections({
    identity,
    connectTimeoutMs: opts.connectTimeoutMs,
    onMismatch(found) {
      if (!target.isMismatched) log.event('identityMismatch', { ...identity, found })
      target.isMismatched = true
    },
  })

  const target: Target = {
    ...identity,
    service: opts.service,
    slots: opts.slots,
    inFlight: 0,
    reportedLoad: 0,
    inFlightAtReport: 0,
    active: true,
    listedLeaving: false,
    draining: false,
    reportsDraining: false,
    isMismatched: false,
    excludedUntil: 0,
    failuresInRow: 0,
    acquire: connections.acquire,
    release: connections.release,
    setPeerDraining(draining) {
      peerDraining = draining
      updateDraining('peer')
    },
    recordAttempt(isSuccess) {
      if (isSuccess) {
        target.failuresInRow = 0
        exclusionsInRow = 0
        return
      }
      target.failuresInRow++
      if (target.failuresInRow >= EXCLUDE_AFTER_FAILURES) exclude()
    },
    async close() {
      stopping.abort()
      await connections.close()
      await task
    },
  }

  function exclude(): void {
    if (target.excludedUntil > monotonicMs()) return
    const ms = Math.min(EXCLUDE_CAP_MS, EXCLUDE_BASE_MS * 2 ** exclusionsInRow)
    exclusionsInRow++
    target.excludedUntil = monotonicMs() + ms
    log.event('targetExcluded', { ...identity, service: opts.service, ms })
  }

  function readmit(): void {
    if (target.excludedUntil === 0 || target.excludedUntil > monotonicMs()) return
    target.excludedUntil = 0
    // One more failure excludes the target again, for twice as long.
    target.failuresInRow = EXCLUDE_AFTER_FAILURES - 1
    log.event('targetReadmitted', { ...identity, service: opts.service })
  }

  async function watchHealth(): Promise<void> {
    while (!stopping.signal.aborted) {
      if (isCheckDue()) await checkHealth()
      await sleep(jittered(opts.healthIntervalMs), stopping.signal)
    }
  }

  /** An excluded, mismatched or draining target is checked by every entry. */
  function isCheckDue(): boolean {
    const { excludedUntil, isMismatched, reportsDraining } = target
    if (excludedUntil > 0 || isMismatched || reportsDraining) return true
    return opts.isHealthCheckAssigned?.() ?? true
  }

  async function checkHealth(): Promise<void> {
    const health = await connections.health()
    if (stopping.signal.aborted) return
    if (health.isOk()) {
      target.isMismatched = false
      target.reportedLoad = health.value.load
      target.inFlightAtReport = target.inFlight
      noteDraining(health.value.state === 'draining')
      readmit()
    } else {
      target.recordAttempt(false)
    }
  }

  function noteDraining(draining: boolean): void {
    if (draining === target.reportsDraining) return
    target.reportsDraining = draining
    updateDraining('health')
    opts.onDraining?.()
  }

  function updateDraining(source: 'health' | 'peer'): void {
    const draining = target.reportsDraining || peerDraining
    if (draining && !target.draining) log.event('targetLeaving', { ...identity, source })
    target.draining = draining
  }

  const task = watchHealth()
  return target
}

/** Whether the target may receive new requests. */
export function acceptsRequests(target: Target): boolean {
  const { active, listedLeaving, draining, isMismatched } = target
  return active && !listedLeaving && !draining && !isMismatched
}
