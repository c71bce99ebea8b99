/** Filters headers between caller and target. Raw lists alternate names and values. */
import { OUTCOME_HEADER } from './constants.js'

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'transfer-encoding',
  'upgrade',
])
/** The entry itself handles `expect` and sets the content length. */
const REMOVED_FOR_TARGET = new Set([...HOP_BY_HOP, 'expect', 'content-length'])
/** The outcome sent by a target is replaced by the entry's. */
const REMOVED_FOR_CALLER = new Set([...HOP_BY_HOP, OUTCOME_HEADER])
/** Values of `connection` that name no other header. */
const PLAIN_CONNECTION = /^(keep-alive|close)$/i

function filterHeaders(raw: readonly string[], dropped: ReadonlySet<string>): string[] {
  const kept: string[] = []
  let listed: Set<string> | undefined
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!
    const lower = name.toLowerCase()
    if (lower === 'connection') listed = connectionHeaderNames(raw[i + 1]!)
    if (!dropped.has(lower)) kept.push(name, raw[i + 1]!)
  }
  return listed ? removeHeaders(kept, listed) : kept
}

/** Headers named by a `connection` header, which are hop-by-hop too. */
function connectionHeaderNames(connection: string): Set<string> | undefined {
  if (PLAIN_CONNECTION.test(connection)) return undefined
  const names = connection.toLowerCase().split(',')
  return new Set(names.map((name) => name.trim()))
}

function removeHeaders(raw: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    if (!names.has(raw[i]!.toLowerCase())) kept.push(raw[i]!, raw[i + 1]!)
  }
  return kept
}

/**
 * Request headers for the target, without the length, which depends on how the body is
 * sent.
 */
export function headersForTarget(raw: readonly string[]): string[] {
  return filterHeaders(raw, REMOVED_FOR_TARGET)
}

/** Response headers for the caller. */
export function headersForCaller(raw: readonly string[]): string[] {
  return filterHeaders(raw, REMOVED_FOR_CALLER)
}
