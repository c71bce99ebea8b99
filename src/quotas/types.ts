/** Messages about quotas between the owners of services and the owner of the fleet. */
import { z } from 'zod'
import { amountsSchema } from './amounts.js'

/** What one service has, uses and wants of the quota of one organisation. */
export const quotaUseSchema = z.object({
  /** Allotment up to which the owner of the service may start tasks. */
  held: amountsSchema,
  /** What tasks of previous owners may still use, beyond `held`. */
  reserved: amountsSchema,
  /** What its tasks use and what its waiting tasks need. */
  wanted: amountsSchema,
})
/** What one service has, uses and wants of the quota of one organisation. */
export type QuotaUse = z.infer<typeof quotaUseSchema>

/** Quota uses of one service by organisation. */
export const quotaReportSchema = z.record(z.string(), quotaUseSchema)
/** Quota uses of one service by organisation. */
export type QuotaReport = z.infer<typeof quotaReportSchema>

/** What one service may use of the quota of one organisation. */
const allotmentSchema = z.object({
  /** What the tasks of its owner may use. */
  held: amountsSchema,
  /** Maximum by which the quota was divided; a large number for no limit. */
  maximum: amountsSchema,
})
/** Why an organisation cannot start more, as reported to operators. Processor time in thousandths. */
export const quotaHoldSchema = z.object({
  organisation: z.string(),
  /** What its tasks on targets of the service use. */
  usedCpu: z.number(),
  /** Part of the maximum that this service may use. */
  allottedCpu: z.number(),
  /** Maximum over all services; undefined for no limit. */
  maximumCpu: z.number().optional(),
  /** Age of the allotment, in ms. */
  ageMs: z.number(),
})
/** Why an organisation cannot start more, as reported to operators. */
export type QuotaHold = z.infer<typeof quotaHoldSchema>

/** Allotments of one service by organisation. */
export const quotaAnswerSchema = z.record(z.string(), allotmentSchema)
/** Allotments of one service by organisation. */
export type QuotaAnswer = z.infer<typeof quotaAnswerSchema>
