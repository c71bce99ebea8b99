/** Which headers pass between caller and target. Raw lists: name, value, name, value. */

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
/** Handled by the entry itself. */
const NOT_TO_TARGET = new Set(['expect', 'content-length'])

function namedInConnection(raw: readonly string[]): Set<string> | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() !== 'connection') continue
    const names = raw[i + 1]!.toLowerCase().split(',')
    return new Set(names.map((name) => name.trim()))
  }
  return undefined
}

function keep(raw: readonly string[], dropped: (name: string) => boolean): string[] {
  const listed = namedInConnection(raw)
  const kept: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || dropped(name) || listed?.has(name)) continue
    kept.push(raw[i]!, raw[i + 1]!)
  }
  return kept
}

/** Headers of a request for the target. The length is set by whoever sends the body. */
export function headersForTarget(raw: readonly string[]): string[] {
  return keep(raw, (name) => NOT_TO_TARGET.has(name))
}

/** Headers of an answer for the caller; a target's own outcome header is not passed on. */
export function headersForCaller(
  raw: readonly string[],
  outcomeHeader: string,
): string[] {
  return keep(raw, (name) => name === outcomeHeader)
}
