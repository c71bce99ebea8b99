/** Direct links to simulated targets, for tests without a network. */
import { err, ok } from 'neverthrow'
import type {
  OrderError,
  OrderResult,
  StartRefusal,
  TargetLink,
  TargetOrders,
} from '../../src/ports/index.js'
import { PlatformError, sleep } from '../../src/shared/index.js'
import type { SimTarget, StartVerdict } from './simTarget.js'

/** Longest wait for an answer that does not come, in ms. */
const ANSWER_TIMEOUT_MS = 60

const REFUSALS: Record<Exclude<StartVerdict, 'accepted'>, StartRefusal> = {
  fence: 'fenced',
  old: 'superseded',
  late: 'expired',
  room: 'full',
}

function orderError(
  failure: OrderError['failure'],
  reason: string,
  callFailure: 'unknown' | 'unreachable' = 'unknown',
): OrderError {
  const props = { step: 'sim.order', peer: 'sim', failure: callFailure }
  return { failure, reason, cause: new PlatformError(reason, { props }) }
}

/** Opens links by target id. Orders to an id without a target fail as `gone`. */
export function createSimOrders(targets: Map<string, SimTarget>): TargetOrders {
  return { open: ({ id }) => createSimLink(() => targets.get(id)) }
}

/** Whether an order that names an incarnation has found another one. */
function isForAnotherLife(order: object, { lifeStartMs }: SimTarget): boolean {
  const named = (order as { lifeStartMs?: number }).lifeStartMs
  return named !== undefined && named !== lifeStartMs
}

function createSimLink(find: () => SimTarget | undefined): TargetLink {
  /** Carries out an order subject to the faults of the target that answers by then. */
  async function execute<T>(timeoutMs: number, action: (target: SimTarget) => T) {
    await sleep(1)
    const target = find()
    if (!target) return err(orderError('gone', 'another incarnation answered'))
    const { silent, refuses, mute, lateMs, isLate, holdsLateOrders } = target.faults
    const unanswered = async () => {
      await sleep(Math.min(ANSWER_TIMEOUT_MS, timeoutMs))
      return err(orderError('unanswered', 'no answer'))
    }
    if (refuses) return err(orderError('notDone', 'connection refused', 'unreachable'))
    if (silent || target.hasCrashed) return unanswered()
    if (lateMs > 0 && isLate()) {
      setTimeout(() => {
        // After a restart of the target a late order that lies on a link reaches the new incarnation.
        const current = holdsLateOrders ? target : find()
        if (current && !current.faults.silent && !current.hasCrashed) action(current)
      }, lateMs).unref()
      return unanswered()
    }
    const answer = action(target)
    await sleep(target.faults.isDelayed() ? target.faults.delayMs : 0)
    return mute ? unanswered() : ok(answer)
  }

  /** Carries out an order that has no effect on another incarnation than the one it names. */
  async function executeNamed<T>(
    order: object,
    timeoutMs: number,
    action: (target: SimTarget) => T,
  ): OrderResult<T> {
    const res = await execute(timeoutMs, (target) =>
      isForAnotherLife(order, target) ? undefined : { value: action(target) },
    )
    if (res.isErr()) return err(res.error)
    if (!res.value) return err(orderError('notDone', 'another incarnation answered'))
    return ok(res.value.value)
  }

  return {
    async start(each, timeoutMs) {
      const res = await executeNamed(each, timeoutMs, (target) => ({
        clockMs: target.clockMs(),
        verdict: target.start({
          task: each.task,
          run: each.run,
          spec: each.spec,
          untilMs: each.leaseUntilMs,
          token: each.token,
          checkpoint: each.checkpoint,
        }),
      }))
      return res.map(({ clockMs, verdict }) =>
        verdict === 'accepted'
          ? { accepted: true as const, clockMs }
          : { accepted: false as const, clockMs, reason: REFUSALS[verdict] },
      )
    },
    stop: (order, timeoutMs) =>
      executeNamed(order, timeoutMs, (target) =>
        target.stop(order.task, order.run, order.token),
      ),
    pace: (order, timeoutMs) =>
      executeNamed(order, timeoutMs, (target) =>
        target.pace(order.task, order.run, order.percent, order.token),
      ),
    async sync(order, timeoutMs) {
      const { token, ackedSeq, leaseUntilMs, waitMs } = order
      /** Of another incarnation than the named one only the state is read. */
      const syncWith = (target: SimTarget) =>
        isForAnotherLife(order, target)
          ? target.sync({ token, lastSeen: 0, untilMs: undefined })
          : target.sync({ token, lastSeen: ackedSeq, untilMs: leaseUntilMs })
      if (waitMs > 0) {
        const first = await execute(timeoutMs, syncWith)
        if (first.isErr()) return err(first.error)
        const target = find()
        await target?.waitForEnd(waitMs)
        if (find() !== target) return err(orderError('unanswered', 'connection reset'))
      }
      const res = await execute(timeoutMs, (target) => ({
        lifeStartMs: target.lifeStartMs,
        clockMs: target.clockMs(),
        report: syncWith(target),
      }))
      if (res.isErr()) return err(res.error)
      const { lifeStartMs, clockMs, report } = res.value
      if (!report) return err(orderError('fenced', 'a higher token was seen'))
      return ok({ lifeStartMs, clockMs, ...report })
    },
    close: () => undefined,
  }
}
