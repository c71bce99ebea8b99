/** Messages about shares between the owners of services and the owner of the fleet. */
import { z } from 'zod'

/** Service by organisation, in thousandths of a core times ms; counts from the start of a term. */
const serviceByOrganisationSchema = z.record(z.string(), z.number())

/** Service that one owner has given. */
export const shareReportSchema = z.object({
  /** Totals of this owner that have changed since the last report that was answered. */
  given: serviceByOrganisationSchema,
  /** Ledger of the last answer; undefined without one. */
  ledger: z.number().optional(),
  /** Version of the ledger in the last answer. */
  seen: z.number().optional(),
})
/** Service that one owner has given. */
export type ShareReport = z.infer<typeof shareReportSchema>

/** Service that all other owners have given. */
export const shareAnswerSchema = z.object({
  /** Changes with each owner of the fleet, whose totals begin at 0. */
  ledger: z.number(),
  /** Rises with each change. */
  version: z.number(),
  /** Totals that have changed since the version that the report has seen; all if there is none. */
  given: serviceByOrganisationSchema,
})
/** Service that all other owners have given. */
export type ShareAnswer = z.infer<typeof shareAnswerSchema>
