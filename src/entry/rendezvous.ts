/** Rendezvous hashing: all processes choose alike, and a changed name moves few keys. */
import { createHash } from 'node:crypto'

/** Names in descending order of their score for the key. */
export function rankByHash(names: readonly string[], key: string): string[] {
  const scored = names.map((name) => {
    const score = createHash('sha1').update(`${name} ${key}`).digest('hex')
    return { name, score }
  })
  return scored.sort((a, b) => (a.score < b.score ? 1 : -1)).map(({ name }) => name)
}
