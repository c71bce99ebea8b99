/**
 * Schemas of values that several kinds of rows contain. A row may come from another writer,
 * so invalid values are rejected when the row is read, not when they are used.
 */
import { z } from 'zod'

/** Longest name or address in a row, in characters; keys of the store have 200 bytes. */
const MAX_NAME_CHARS = 200
/** Largest amount of a resource: a million cores in thousandths, or a million GB in MB. */
const MAX_AMOUNT = 1e9
const MAX_PORT = 65_535
/** Longest entry of a target that is parsed, in characters; a usual one has about 250. */
const MAX_ENTRY_CHARS = 8192

const HOST_AND_PORT = /^(?:\[[\da-f:.]+\]|[\w.-]+):(\d{1,5})$/i

/** Whether the text is `HOST:PORT` and makes a valid URL. */
function isAddress(text: string): boolean {
  const port = Number(HOST_AND_PORT.exec(text)?.[1] ?? 0)
  return port > 0 && port <= MAX_PORT && URL.canParse(`http://${text}`)
}

/** A non-empty name. */
export const nameSchema = z.string().min(1).max(MAX_NAME_CHARS)

/** An id that is valid in a header and in a key: no space, slash or other separator. */
export const idSchema = nameSchema.regex(/^[\w.!#$%&'*+^`|~-]+$/, 'not an id')

/** `HOST:PORT`. */
export const addressSchema = z
  .string()
  .max(MAX_NAME_CHARS)
  .refine(isAddress, 'not HOST:PORT with a port from 1 to 65535')

/** An amount of a resource. */
export const amountSchema = z.number().min(0).max(MAX_AMOUNT)

/** Checks key and length of a target's entry; returns the problem, undefined when valid. */
export function describeEntryProblem(id: string, text: string): string | undefined {
  if (!idSchema.safeParse(id).success) return 'its key is not an id'
  return text.length > MAX_ENTRY_CHARS ? 'too long' : undefined
}
