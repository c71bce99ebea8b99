/** HTTP handlers of the stand-in platform for targets. */
import { sleep } from '../../src/shared/index.js'
import type { SimVm } from './simFleet.js'
import type { SimTarget } from './simTarget.js'
import type { Body, Handler, Reply } from './wire.js'

/** Result of a handler whose target has ended, and the connection with it; it is not sent. */
const CONNECTION_LOST: Reply = [503]

/**
 * Handlers of the current target of a VM. Requests to another target id are answered 421. Without
 * a target, the server has no connections.
 */
export function targetHandlers(vm: SimVm): Record<string, Handler> {
  const forCurrentTarget =
    (handler: (target: SimTarget, body: Body) => Reply | Promise<Reply>): Handler =>
    ({ body, headers }) => {
      const { target } = vm
      if (!target || headers['rillshunt-expected-instance'] !== target.id) return [421]
      return handler(target, body)
    }
  return {
    'POST /run-start': forCurrentTarget((target, body) => {
      const verdict = target.start({
        task: String(body.task),
        run: Number(body.run),
        spec: String(body.spec ?? ''),
        untilMs: Number(body.until_ms),
        token: Number(body.fencing_token ?? 0),
        checkpoint: String(body.saved ?? ''),
      })
      const clock = { clock_ms: target.clockMs() }
      return verdict === 'accepted' ? [200, clock] : [409, { ...clock, reason: verdict }]
    }),
    'POST /run-stop': forCurrentTarget((target, body) => {
      const done = target.stop(
        String(body.task),
        Number(body.run),
        Number(body.fencing_token),
      )
      return [done ? 200 : 409, { clock_ms: target.clockMs() }]
    }),
    'POST /pace': forCurrentTarget((target, body) => {
      const { task, run, percent, fencing_token: token } = body
      const done = target.pace(String(task), Number(run), Number(percent), Number(token))
      return [done ? 200 : 409, { clock_ms: target.clockMs() }]
    }),
    'POST /hold': forCurrentTarget(async (target, body) => {
      const token = Number(body.fencing_token ?? 0)
      const lastSeen = Number(body.last_seen ?? 0)
      const untilMs = body.until_ms === undefined ? undefined : Number(body.until_ms)
      target.sync({ token, lastSeen, untilMs })
      await target.waitForEnd(Number(body.wait_ms ?? 0))
      if (vm.target !== target) return CONNECTION_LOST
      const report = target.sync({ token, lastSeen, untilMs })
      if (!report) return [409, { clock_ms: target.clockMs(), reason: 'fence' }]
      const running = report.runs.map((run) => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.load,
      ])
      const ended = report.ends.map((end) => [
        end.seq,
        end.task,
        end.run,
        end.kind,
        end.checkpoint,
      ])
      const { lifeStartMs: born } = target
      const answer = { born, clock_ms: target.clockMs(), running, ended }
      const { isDelayed, delayMs } = target.faults
      if (delayMs > 0 && isDelayed()) await sleep(delayMs)
      return [200, answer]
    }),
  }
}
