/** Maxima of organisations according to the configuration. */
import { lastKnownOrganisation } from '../directory/index.js'
import type { Configuration, Resources } from '../ports/index.js'
import { UNLIMITED, eachKind, isZeroAmounts, zeroAmounts } from './amounts.js'

/**
 * Returns what an organisation may use at most, with {@link UNLIMITED} for no limit; undefined if it
 * has no limit of any kind, because no configuration that is known sets one. An organisation that a
 * later configuration removed keeps its last limit.
 */
export function maximumOf(
  cfg: Configuration | undefined,
  organisation: string,
): Resources | undefined {
  const found = lastKnownOrganisation(cfg, organisation)
  // An organisation that cannot be read may have any maximum.
  if (!found) return cfg?.lacksOrganisations ? zeroAmounts() : undefined
  const { maximum } = found
  if (isZeroAmounts(maximum)) return undefined
  return eachKind((kind) => (maximum[kind] === 0 ? UNLIMITED : maximum[kind]))
}
