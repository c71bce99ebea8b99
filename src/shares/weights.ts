/** Weights of organisations by which room is divided. */
import type { Organisation } from '../ports/index.js'

type Organisations = ReadonlyMap<string, Organisation>

/** Weights according to one configuration. */
export interface Weights {
  /** Weight of an organisation, above 0. */
  of(organisation: string): number
  /** Sum of the weights of the configured organisations. */
  total: number
}

const weightsByConfiguration = new WeakMap<Organisations, Weights>()

const isUsable = (weight: number): boolean => Number.isFinite(weight) && weight > 0

function computeWeights(organisations: Organisations): Weights {
  const configured = [...organisations.values()].map(({ weight }) => weight)
  const usable = configured.filter(isUsable)
  const fallback = Math.max(1, usable.length > 0 ? Math.min(...usable) : 1)
  const of = (organisation: string): number => {
    const weight = organisations.get(organisation)?.weight ?? 0
    return isUsable(weight) ? weight : fallback
  }
  let total = 0
  for (const name of organisations.keys()) total += of(name)
  return { of, total: Math.max(total, fallback) }
}

/**
 * Returns the weights, computed once per configuration. An organisation whose weight is 0 or that is
 * missing, because a later configuration removed it, counts with the smallest configured weight, at
 * least 1: its accepted jobs go on, but have no claim to more.
 */
export function weightsOf(organisations: Organisations): Weights {
  const known = weightsByConfiguration.get(organisations)
  if (known) return known
  const weights = computeWeights(organisations)
  weightsByConfiguration.set(organisations, weights)
  return weights
}
