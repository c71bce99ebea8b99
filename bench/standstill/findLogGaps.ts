/** Finds places in a log where lines are damaged or lost. */

/** A place in the log of one node where lines may be missing. */
export interface LogGap {
  node: string
  /** Wall time, in ms since 1970. */
  at: number
}

/** Time and name of the node, which a log collector prepends to a line. */
const PREFIX = /^\s*-?[\d.]+ (\S+) \{/
const TIMESTAMP = /"timestamp":"([^"]+Z)"/

/** Finds gaps, in the order of the text. Lines without a prepended node are skipped. */
export function findLogGaps(text: string): LogGap[] {
  const gaps: LogGap[] = []
  const lastAt = new Map<string, number>()
  for (const line of text.split('\n')) {
    const node = PREFIX.exec(line)?.[1]
    if (node === undefined) continue
    const stamp = TIMESTAMP.exec(line)?.[1]
    const at = stamp === undefined ? (lastAt.get(node) ?? 0) : Date.parse(stamp)
    lastAt.set(node, at)
    if (isDamaged(line.slice(line.indexOf('{')))) gaps.push({ node, at })
  }
  return gaps
}

function isDamaged(line: string): boolean {
  try {
    JSON.parse(line)
    return false
  } catch {
    // The rest of a line, or two lines run together.
    return true
  }
}
