/** What an entry remembers of unrepeatable requests, for a bounded time and number. */

/** What became of a claimed request. */
export type ClaimState = 'running' | 'answered' | 'unknown'

/** One remembered request. */
export interface ClaimRecord {
  id: string
  state: ClaimState
  /** Ms since the claim. */
  ageMs: number
  /** Names the request that claimed the id. */
  token: string
}

/** Remembered requests. */
export interface ClaimRegistry {
  /** The claim if the id is known. */
  find(id: string): { state: ClaimState; token: string } | undefined
  /** Adds an id; false when the book is full. */
  add(record: ClaimRecord): boolean
  /** Changes the state of a known id. */
  set(id: string, state: ClaimState): void
  /** Forgets an id that did not run. */
  remove(id: string): void
  records(): ClaimRecord[]
  size(): number
}

/** Creates an empty book. */
export function createClaimRegistry(opts: {
  memoryMs: number
  maxRecords: number
  now: () => number
}): ClaimRegistry {
  const { memoryMs, maxRecords, now } = opts
  const claims = new Map<string, { state: ClaimState; token: string; at: number }>()

  /** Drops what is older than the memory; the map keeps the order of arrival. */
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
