/** Services that need an owner. */
import type { Configuration } from '../ports/index.js'

/**
 * Names of the services that need an owner: all but spare pools.
 * @param withJobs services that have accepted jobs, which a later configuration may lack
 */
export function ownedServices(
  cfg: Configuration | undefined,
  withJobs: Iterable<string> = [],
): string[] {
  if (!cfg) return []
  // A queue may have jobs to run even if its service is not listed or could not be read.
  const all = new Set([
    ...cfg.services.keys(),
    ...cfg.queues.map(({ service }) => service),
    ...withJobs,
  ])
  return [...all].filter((name) => !cfg.services.get(name)?.spare)
}
