/** Keys and schemas of the platform's rows that hold the operators' table. */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import { canonicalJson } from '../shared/index.js'
import { rawTableSchema } from './schema.js'
import type { RawTable } from './schema.js'

/** Key of the row that names the accepted table. */
export const HEAD_KEY = 'head'

/** Key of the row of one accepted table; the row never changes. */
export const tableKey = (epoch: number): string => `tables/${epoch}`

/** Key of the row of an editor's draft. */
export const draftKey = (editor: string): string => `drafts/${editor}`

const editSchema = z.object({
  row: z.string(),
  column: z.string(),
  value: z.string().nullable(),
  editor: z.string(),
})

/** Contents of {@link HEAD_KEY}. */
export const headSchema = z.object({
  epoch: z.number().int().min(1),
  acceptId: z.string(),
  hash: z.string(),
})
export type Head = z.infer<typeof headSchema>

/** Contents of `tables/N`. */
export const acceptedSchema = headSchema.extend({
  editor: z.string(),
  /** Wall-clock time at the editor, shown to operators only. */
  at: z.string(),
  raw: rawTableSchema,
  changes: z.array(editSchema),
})
export type AcceptedTable = z.infer<typeof acceptedSchema>

/** Contents of `drafts/<editor>`. */
export const draftSchema = z.object({
  base: z.number().int().min(0),
  edits: z.array(editSchema),
  /** Id of an accept of this draft that was started and whose outcome is unknown. */
  accepting: z.string().optional(),
})
export type Draft = z.infer<typeof draftSchema>

/** Hash by which readers verify that a table is the accepted one. */
export function hashTable(epoch: number, raw: RawTable): string {
  return createHash('sha256').update(canonicalJson({ epoch, raw })).digest('hex')
}
