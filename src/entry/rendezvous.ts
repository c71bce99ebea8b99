/** Rendezvous hashing: the same choice everywhere, and few changes when names change. */
import { createHash } from 'node:crypto'

/** Names by their score for the key, the highest first. */
export function rankByHash(names: readonly string[], key: string): string[] {
  const scored = names.map((name) => {
    const score = createHash('sha1').update(`${name} ${key}`).digest('hex')
    return { name, score }
  })
  return scored.sort((a, b) => (a.score < b.score ? 1 : -1)).map(({ name }) => name)
}
