/** Reports from owners of services to the owner of the fleet, and the answer to them. */
import { z } from 'zod'
import { quotaAnswerSchema, quotaReportSchema } from '../quotas/index.js'
import { shareAnswerSchema, shareReportSchema } from '../shares/index.js'

/** One target of a service, as its owner sees it. */
export const targetLoadSchema = z.object({
  id: z.string(),
  /** Number of runs that are or may be present. */
  runs: z.number(),
  /** Number of them that belong to lasting steps. */
  lasting: z.number(),
  /** Whether the owner starts no new tasks there, as the owner of the fleet requested. */
  evacuating: z.boolean(),
  /** Processor capacity in use, in thousandths of a core. */
  usedCpu: z.number(),
  /** Whether it works so badly that the owner places no tasks there. */
  suspect: z.boolean().default(false),
})
/** One target of a service, as its owner sees it. */
export type TargetLoad = z.infer<typeof targetLoadSchema>

/** State of a service, as its owner reports it. */
export const serviceReportSchema = z.object({
  service: z.string(),
  /** Term of the owner: reports of a later owner replace those of earlier ones. */
  term: z.number(),
  /** Increases with each report of one owner: a slow call may arrive after later ones. */
  sequence: z.number(),
  /** Processor capacity that its tasks need now and soon, in thousandths of a core. */
  neededCpu: z.number(),
  /** The part of `neededCpu` for jobs that can still meet their objective. */
  timelyCpu: z.number(),
  /** Whether the owner has not read all of its jobs yet, so that it may need more than it reports. */
  mayLackJobs: z.boolean().optional(),
  /** Smallest number of targets on which its lasting steps fit. */
  minTargets: z.number(),
  targets: z.array(targetLoadSchema),
  /** Use of the quotas of organisations; undefined without any. */
  quotas: quotaReportSchema.optional(),
  /** Service given to organisations; undefined where room is not divided by weight. */
  shares: shareReportSchema.optional(),
  /** Whether the answer should name the room that the service can get. */
  asksAttainable: z.boolean().optional(),
})
/** State of a service, as its owner reports it. */
export type ServiceReport = z.infer<typeof serviceReportSchema>

/** Answer of the fleet's owner to a report. */
export const fleetAnswerSchema = z.object({
  /** Targets that get no new tasks because their VM is to be moved or maintained. */
  evacuate: z.array(z.string()),
  /** Targets among these whose long tasks should be stopped now. */
  hurry: z.array(z.string()),
  /** Lives that an order of the owner of the fleet has ended. */
  ended: z.array(z.string()),
  /** Allotments of quotas that change; undefined from a version that divides no quotas. */
  quotas: quotaAnswerSchema.optional(),
  /**
   * Service given to organisations by the other services; undefined if the report has no `shares`,
   * or from a version that does not sum it up.
   */
  shares: shareAnswerSchema.optional(),
  /**
   * Room that the service has or can get from other pools, in thousandths of a core; undefined if it
   * is unknown or was not asked for.
   */
  attainableCpu: z.number().optional(),
})
/** Answer of the fleet's owner to a report. */
export type FleetAnswer = z.infer<typeof fleetAnswerSchema>

/** Answer that empties no target, opens all of them, and leaves the allotments as they are. */
export const NO_EVACUATION: FleetAnswer = {
  evacuate: [],
  hurry: [],
  ended: [],
  quotas: {},
}
