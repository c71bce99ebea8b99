/**
 * Settings by which jobs run. A job keeps the settings that its queue had when it was accepted, so
 * that it does not depend on whether the present configuration names its queue.
 */
import type { ConfigurationHolder } from '../directory/index.js'
import type { JobSpec, QueueSettings } from '../jobs/index.js'
import type { Logger } from '../shared/index.js'

/** The part of a job by which its settings are found. */
type SettingsInput = Pick<JobSpec, 'id' | 'queue' | 'settings'>

/**
 * Source of the settings of a job: its row, the newest configuration of this process's life that
 * names its queue, or neither.
 */
type SettingsSource = 'job' | 'configuration' | 'unknown'

/** Finds the settings of jobs. */
export interface JobSettings {
  /** Undefined if they are not known. */
  of(spec: SettingsInput): QueueSettings | undefined
  /** Infinity if not known: a job must not fail by a limit that it was not accepted with. */
  maxAttemptsOf(spec: SettingsInput): number
  sourceOf(spec: SettingsInput): SettingsSource
}

/** Creates the lookup; the rows of jobs that older software versions accepted have no settings. */
export function createJobSettings(
  configuration: Pick<ConfigurationHolder, 'lastKnownQueue'>,
  log: Logger,
): JobSettings {
  /** Queues that are missing, so that each is logged once. */
  const missing = new Set<string>()

  function noteMissing({ id, queue }: SettingsInput): void {
    if (missing.has(queue)) return
    missing.add(queue)
    log.event('jobSettingsUnknown', { job: id, queue })
  }

  const lookUp = ({ queue, settings }: SettingsInput): QueueSettings | undefined =>
    settings ?? configuration.lastKnownQueue(queue)

  return {
    of(spec) {
      const found = lookUp(spec)
      if (!found) noteMissing(spec)
      return found
    },
    maxAttemptsOf: (spec) => lookUp(spec)?.maxAttempts ?? Infinity,
    sourceOf(spec) {
      if (spec.settings) return 'job'
      return lookUp(spec) ? 'configuration' : 'unknown'
    },
  }
}
