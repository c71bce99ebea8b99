/** Digests of the keys with which callers authenticate. */
import { createHash } from 'node:crypto'

/**
 * Returns the digest under which a key is stored and looked up. A lookup by digest takes a time
 * that tells nothing of the key, and a digest that is logged by mistake does not disclose it.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64')
}
