/**
 * Shapes of values that stand in rows of several kinds. A row may come from another writer,
 * so that what cannot be meant is refused where it is read, not where it is used.
 */
import { z } from 'zod'

/** Longest name or address in a row, in characters: the store's own keys have 200 bytes. */
const MAX_NAME_CHARS = 200
/** Largest amount of a resource: a million cores in thousandths, or a million GB in MB. */
const MAX_AMOUNT = 1e9
const MAX_PORT = 65_535
/** Longest entry of a target that is looked at, in characters; a usual one has about 250. */
const MAX_ENTRY_CHARS = 8192

const HOST_AND_PORT = /^(?:\[[\da-f:.]+\]|[\w.-]+):(\d{1,5})$/i

/** Whether the text is `HOST:PORT` and can be called. */
function isAddress(text: string): boolean {
  const port = Number(HOST_AND_PORT.exec(text)?.[1] ?? 0)
  return port > 0 && port <= MAX_PORT && URL.canParse(`http://${text}`)
}

/** A name that is not empty. */
export const nameSchema = z.string().min(1).max(MAX_NAME_CHARS)

/** An id that can stand in a header and in a key: no space, slash or other separator. */
export const idSchema = nameSchema.regex(/^[\w.!#$%&'*+^`|~-]+$/, 'not an id')

/** `HOST:PORT`. */
export const addressSchema = z
  .string()
  .max(MAX_NAME_CHARS)
  .refine(isAddress, 'not HOST:PORT with a port from 1 to 65535')

/** An amount of a resource. */
export const amountSchema = z.number().min(0).max(MAX_AMOUNT)

/** What is wrong with an entry of a target before its text is read; undefined when nothing is. */
export function describeEntryProblem(id: string, text: string): string | undefined {
  if (!idSchema.safeParse(id).success) return 'its key is not an id'
  return text.length > MAX_ENTRY_CHARS ? 'too long' : undefined
}
