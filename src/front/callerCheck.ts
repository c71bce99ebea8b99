/** Authentication of callers by the key of their organisation. */
import type { ConfigurationHolder } from '../directory/index.js'
import type { Queue } from '../ports/index.js'
import { monotonicMs } from '../shared/index.js'
import { RETRY_AFTER_MS } from './storedJobs.js'

/** Age from which the configuration may lack existing entries, in ms: half of the allowed age. */
const CONFIGURATION_STALE_MS = 1800

/** Result of checking a caller. */
export type CallerCheck =
  /** `organisation` is undefined if the queue needs no key and the caller has no valid one. */
  | { kind: 'admitted'; organisation: string | undefined }
  | { kind: 'unauthorized' }
  /** The configuration is too old or too incomplete to rule the key out. */
  | { kind: 'notReady'; retryAfterMs: number }

/** Time since the configuration was last known to be current, in ms. */
export const configurationAgeMs = (configuration: ConfigurationHolder): number =>
  monotonicMs() - configuration.freshAt()

/** Whether an existing entry may be missing from the configuration because it is too old. */
export const isConfigurationStale = (configuration: ConfigurationHolder): boolean =>
  configurationAgeMs(configuration) > CONFIGURATION_STALE_MS

/**
 * Checks whether a caller may use a queue.
 * @param key key that the caller presents; undefined if there is none or it cannot be read
 */
export function checkCaller(
  configuration: ConfigurationHolder,
  queue: Queue,
  key: string | undefined,
): CallerCheck {
  const { organisations, lacksOrganisations } = configuration.current() ?? {}
  if (!organisations) return { kind: 'admitted', organisation: undefined }
  const organisation =
    key === undefined ? undefined : configuration.organisationOfKey(key)
  if (organisation !== undefined || queue.public)
    return { kind: 'admitted', organisation }
  // Without a key, no other configuration admits the caller either.
  if (key === undefined) return { kind: 'unauthorized' }
  const mayLackKey = lacksOrganisations === true || isConfigurationStale(configuration)
  if (!mayLackKey) return { kind: 'unauthorized' }
  return { kind: 'notReady', retryAfterMs: RETRY_AFTER_MS }
}
