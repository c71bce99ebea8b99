/** Stops runs that stand still or crawl, where they get on sooner when they begin anew. */
import { monotonicMs } from '../shared/index.js'
import type { Logger } from '../shared/index.js'
import type { Health } from './health.js'
import { createRelocationRoom } from './planner.js'
import type { Starter } from './starter.js'
import type { TargetAgent } from './types.js'

/** What the look at bad runs works with. */
export interface MoveBadRunsOptions {
  /** All targets of the service. */
  agents: TargetAgent[]
  health: Health
  starter: Starter
  log: Logger
}

/**
 * Stops a bad run only where a sound target has room for it now. Stopped without that, three
 * runs of a job ended within 11 ms and the job ran nothing for seconds.
 */
export function moveBadRuns({ agents, health, starter, log }: MoveBadRunsOptions): void {
  const bad = health.sweep(agents)
  if (bad.length === 0) return
  const sound = agents.filter((agent) => health.standingOf(agent) === 'sound')
  const room = createRelocationRoom(sound, starter.policyNow(agents))
  for (const run of bad) {
    const { agent, placement, task, mayRestartInPlace } = run
    if (placement.state !== 'running') continue
    if (!room.reserve(task.step, agent) && !mayRestartInPlace) continue
    log.event('runMoved', {
      task: placement.name,
      target: agent.target.id,
      percent: placement.percent,
      ranMs: Math.round(monotonicMs() - task.startedAt),
    })
    health.noteMoved(run)
    agent.stop(placement.name)
  }
}
