/** Reads the structured logs of all nodes of a run, in any order. */
import { z } from 'zod'

/** Fields of a log line that the tools read. The event determines which optional ones exist. */
const lineSchema = z.object({
  timestamp: z.iso.datetime(),
  name: z.string(),
  node: z.string(),
  service: z.string().optional(),
  job: z.string().optional(),
  task: z.string().optional(),
  target: z.string().optional(),
  wanted: z.boolean().optional(),
  forMs: z.number().optional(),
  queue: z.string().optional(),
  waitedMs: z.number().optional(),
  vm: z.string().optional(),
  kind: z.string().optional(),
  from: z.string().optional(),
  pool: z.string().optional(),
  answer: z.string().optional(),
  reason: z.string().optional(),
  hold: z.string().optional(),
  failure: z.string().optional(),
})

/** A logged event. */
export type LogEvent = Omit<z.infer<typeof lineSchema>, 'timestamp'> & {
  /** Wall time, in ms since 1970. */
  at: number
}

/** Parses the events of a text and sorts them by time. Other lines are skipped. */
export function readLog(text: string): LogEvent[] {
  const events = text.split('\n').flatMap((line): LogEvent[] => {
    // A line may begin with the time and the node's name, or with the rest of a cut line.
    const brace = Math.max(line.lastIndexOf('{"timestamp"'), line.indexOf('{'))
    if (brace < 0) return []
    const parsed = lineSchema.safeParse(parseOrUndefined(line.slice(brace)))
    if (!parsed.success) return []
    const { timestamp, ...fields } = parsed.data
    return [{ ...fields, at: Date.parse(timestamp) }]
  })
  return events.sort((a, b) => a.at - b.at)
}

function parseOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The collector of the logs has cut the line or mixed it with another.
    return undefined
  }
}
