/** Optional features, and the contracts of the platform that call for them. */

/**
 * `admission` refuses jobs that cannot be served in time. `weightedShares` divides room between
 * organisations by weight, over all services. `speculation` runs second copies of slow tasks.
 */
export const FEATURES = ['admission', 'weightedShares', 'speculation'] as const
/** Name of an optional feature. */
export type Feature = (typeof FEATURES)[number]

/** Features that a contract in force enables. Deployments without these contracts have none. */
const FEATURES_BY_CONTRACT: Record<string, readonly Feature[]> = {
  places: ['speculation'],
  pressure: ['admission', 'weightedShares', 'speculation'],
}

/** Contracts that enable features. */
export const FEATURE_CONTRACTS = Object.keys(FEATURES_BY_CONTRACT)

/** The settings that decide which features are enabled. */
interface FeatureSettings {
  contracts: { in_force: readonly string[] }
  features: { enabled?: readonly Feature[] | undefined }
}

/** Returns the enabled features: those that the settings list, else those of the contracts. */
export function featuresOf({
  contracts,
  features,
}: FeatureSettings): ReadonlySet<Feature> {
  const called = contracts.in_force.flatMap((name) => FEATURES_BY_CONTRACT[name] ?? [])
  return new Set(features.enabled ?? called)
}
