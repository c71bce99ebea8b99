/** Reads the structured logs of all nodes of a run, in whatever order they come. */
import { z } from 'zod'

/** What the readers of logs use of a line; which fields there are depends on the event. */
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

/** One event of a run. */
export type LogEvent = Omit<z.infer<typeof lineSchema>, 'timestamp'> & {
  /** Wall time, in ms since 1970. */
  at: number
}

/** The events of a text, sorted by time; what is not a line of ours is passed over. */
export function readLog(text: string): LogEvent[] {
  const events = text.split('\n').flatMap((line): LogEvent[] => {
    // Lines may carry the time and the node's name in front, and the rest of a cut line.
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
    // A line that the reader of the logs has cut or mixed with another.
    return undefined
  }
}
