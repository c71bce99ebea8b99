/** Rows that bind the addresses of queues to namespaces. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { Queue, RowKey } from '../ports/index.js'
import { parseJson } from '../shared/index.js'

/** Table of the bindings; all of them are in one part, so that one read returns them. */
export const NAMESPACES_TABLE = 'namespaces'
export const NAMESPACES_PART = 'addresses'

/** The part of a queue that callers see. */
export type Address = Pick<Queue, 'host' | 'pathPrefix'>

const bindingSchema = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  /** Name under which the ids of jobs at the address are recorded; never changes. */
  namespace: z.string().min(1),
  /** Services for which jobs have been accepted at the address; only grows. */
  services: z.array(z.string()),
})
/** A decoded binding. */
export type Binding = z.infer<typeof bindingSchema>

/** Key of the row of an address. A digest, as host and path may be longer than a key. */
export function bindingKey({ host, pathPrefix }: Address): RowKey {
  const digest = createHash('sha256').update(`${host}\n${pathPrefix}`).digest('base64url')
  return { table: NAMESPACES_TABLE, part: NAMESPACES_PART, key: digest }
}

export const encodeBinding = (binding: Binding): string => JSON.stringify(binding)

/** Decodes a binding; undefined if it has the wrong shape. */
export const decodeBinding = (value: string): Binding | undefined =>
  bindingSchema.safeParse(parseJson(value)).data
