/** Stops stalled and slow runs that are finished sooner if they are restarted. */
import { startOfRun } from '../jobs/index.js'
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { Health } from './health.js'
import { createRelocationRoom } from './planner.js'
import type { Starter } from './starter.js'
import type { TargetAgent } from './types.js'

/** Input of one pass over the unhealthy runs. */
export interface MoveUnhealthyRunsOptions {
  /** All targets of the service. */
  agents: TargetAgent[]
  health: Health
  starter: Starter
  log: Logger
}

/**
 * Stops the unhealthy runs that the run monitor finds. A run is stopped only if a sound target has
 * room for it now or it may restart in place, which a cordoned hall does not allow. Otherwise all
 * runs of a job may be stopped, three of them within 11 ms, and the job runs nothing for seconds.
 */
export function moveUnhealthyRuns({
  agents,
  health,
  starter,
  log,
}: MoveUnhealthyRunsOptions): void {
  const unhealthy = health.sweep(agents)
  if (unhealthy.length === 0) return
  const sound = agents.filter((agent) => health.standingOf(agent) === 'sound')
  const room = createRelocationRoom(sound, starter.policyNow(agents))
  for (const run of unhealthy) {
    const { agent, placement, task, mayRestartInPlace } = run
    if (placement.state !== 'running') continue
    const hasAlternative =
      room.reserve(task.step, agent) || (mayRestartInPlace && !agent.isCordoned())
    if (!hasAlternative) continue
    log.event('runMoved', {
      task: placement.name,
      target: agent.target.id,
      percent: placement.percent,
      ranMs: Math.round(monotonicMs() - startOfRun(task, placement.run)),
    })
    health.noteMoved(run)
    agent.stop(placement.name)
  }
}
