/**
 * The lease of a hall, which allows at most one keeper to decide for it. Expiry is
 * judged without comparing clocks: a standby takes the lease when the row has not changed
 * for longer than the term on its own monotonic clock. The holder counts the term from
 * before it sends the renewal, and every write is conditional on the fencing token.
 */
import { leaseKey, leaseRowSchema } from '../fleet/index.js'
import type { LeaseRow } from '../fleet/index.js'
import { commit, newOpId } from '../platform/index.js'
import type { Platform, Row, RowGuard } from '../platform/index.js'
import { createStopController, jittered, monotonicMs, sleep } from '../shared/index.js'
import type { Logger, Metrics } from '../shared/index.js'

const RENEWALS_PER_TERM = 3
/** Terms without a renewal after which a standby takes the lease. */
const TAKEOVER_WAIT_FACTOR = 1.25

/** A keeper's handle on the lease. */
export interface Lease {
  /** The fencing token; undefined unless the lease is held and its term has not ended. */
  fence(): number | undefined
  /** Condition that every write under the lease must carry. */
  guard(fence: number): RowGuard
  /** Releases the lease, so that a standby need not wait for it to expire. */
  stop(): Promise<void>
}

/** Options of {@link createLease}. */
export interface LeaseOptions {
  platform: Platform
  hall: string
  /** Id of the keeper's process, unique to each start of it. */
  holder: string
  /** Term in ms. */
  ttlMs: number
  log: Logger
  metrics: Metrics
  /**
   * Monotonic clock in ms.
   * @default monotonicMs
   */
  now?: () => number
}

const currentTimestamp = () => new Date().toISOString()

/** Starts the task that takes and renews the lease. */
export function createLease(opts: LeaseOptions): Lease {
  const { platform, hall, holder, ttlMs, log, metrics } = opts
  const now = opts.now ?? monotonicMs
  const key = leaseKey(hall)
  const stopping = createStopController()
  let held: { fence: number; until: number } | undefined
  let lastChange = { version: -1, at: 0 }

  function setHeld(next: typeof held): void {
    if (!held && next) log.event('leaseTaken', { hall, holder, fence: next.fence })
    if (held && !next) log.event('leaseLost', { hall, holder, fence: held.fence })
    held = next
    metrics.leaseHeld.set(next ? 1 : 0)
  }

  async function writeLeaseRow(row: Row | undefined, value: LeaseRow, startedAt: number) {
    const version = row?.version ?? 0
    const writes = [{ key, version, value }]
    const outcome = await commit(platform, { opId: newOpId('lease'), writes, guards: [] })
    if (outcome.isErr()) return
    if (!outcome.value.committed) return setHeld(undefined)
    if (value.holder === holder) setHeld({ fence: value.fence, until: startedAt + ttlMs })
  }

  async function takeOrRenew(): Promise<void> {
    const startedAt = now()
    const rows = await platform.read([key])
    if (rows.isErr()) return dropIfExpired()
    const row = rows.value.get(key)
    const found = leaseRowSchema.safeParse(row?.value)
    const current = found.success ? found.data : undefined
    const fence = current?.fence ?? 0
    if (current?.holder === holder) {
      if (held && held.fence !== fence) setHeld(undefined)
      await writeLeaseRow(
        row,
        { holder, fence, ttlMs, renewedAt: currentTimestamp() },
        startedAt,
      )
      return dropIfExpired()
    }
    if (held) setHeld(undefined)
    if (current && current.holder !== '' && !hasExpired(row!, current)) return
    await writeLeaseRow(
      row,
      { holder, fence: fence + 1, ttlMs, renewedAt: currentTimestamp() },
      startedAt,
    )
  }

  /** Whether the row has stayed unchanged for as long as a standby must wait. */
  function hasExpired(row: Row, lease: LeaseRow): boolean {
    if (row.version !== lastChange.version) {
      lastChange = { version: row.version, at: now() }
      return false
    }
    return now() - lastChange.at > lease.ttlMs * TAKEOVER_WAIT_FACTOR
  }

  function dropIfExpired(): void {
    if (held && now() >= held.until) setHeld(undefined)
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await takeOrRenew()
      const pause = ttlMs / RENEWALS_PER_TERM
      await sleep(jittered(pause), stopping.signal)
    }
  }

  const task = run()

  return {
    fence: () => (held && now() < held.until ? held.fence : undefined),
    guard: (fence) => ({ key, field: 'fence', equals: fence }),
    async stop() {
      stopping.abort()
      await task
      if (!held) return
      const { fence } = held
      held = undefined
      metrics.leaseHeld.set(0)
      const rows = await platform.read([key])
      const row = rows.isOk() ? rows.value.get(key) : undefined
      const found = leaseRowSchema.safeParse(row?.value)
      if (!row || !found.success || found.data.fence !== fence) return
      const value: LeaseRow = { holder: '', fence, ttlMs, renewedAt: currentTimestamp() }
      const writes = [{ key, version: row.version, value }]
      await commit(platform, { opId: newOpId('lease'), writes, guards: [] })
      log.event('leaseReleased', { hall, holder, fence })
    },
  }
}
