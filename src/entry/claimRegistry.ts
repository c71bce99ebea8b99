/** Claims of unrepeatable requests, bounded in retention time and number. */

/** State of a claimed request. */
export type ClaimState = 'running' | 'answered' | 'unknown'

/** One claimed request. */
export interface ClaimRecord {
  id: string
  state: ClaimState
  /** Time since the claim, in ms. */
  ageMs: number
  /** Identifies the request that claimed the id. */
  token: string
}

/** Claims by request id. */
export interface ClaimRegistry {
  /** The claim of the id, if known. */
  find(id: string): { state: ClaimState; token: string } | undefined
  /** Adds a claim; false when the registry is full. */
  add(record: ClaimRecord): boolean
  /** Changes the state of a known claim. */
  set(id: string, state: ClaimState): void
  /** Removes the claim of a request that did not run. */
  remove(id: string): void
  records(): ClaimRecord[]
  size(): number
}

/** Creates an empty registry. */
export function createClaimRegistry(opts: {
  memoryMs: number
  maxRecords: number
  now: () => number
}): ClaimRegistry {
  const { memoryMs, maxRecords, now } = opts
  const claims = new Map<string, { state: ClaimState; token: string; at: number }>()

  /** Drops claims older than `memoryMs`; the map is in order of arrival. */
  function prune(): void {
    for (const [id, { at }] of claims) {
      if (now() - at < memoryMs) return
      claims.delete(id)
    }
  }

  return {
    find(id) {
      prune()
      return claims.get(id)
    },
    add({ id, state, ageMs, token }) {
      prune()
      if (claims.size >= maxRecords) return false
      claims.set(id, { state, token, at: now() - ageMs })
      return true
    },
    set(id, state) {
      const claim = claims.get(id)
      if (claim) claim.state = state
    },
    remove: (id) => void claims.delete(id),
    records() {
      prune()
      const at = now()
      return [...claims].map(([id, claim]) => ({
        id,
        state: claim.state,
        token: claim.token,
        ageMs: at - claim.at,
      }))
    },
    size: () => claims.size,
  }
}
