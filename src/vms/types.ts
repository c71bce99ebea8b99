/** What the owner of a service tells the owner of the fleet, and the answer. */
import { z } from 'zod'

/** One target of a service, as its owner sees it. */
export const targetLoadSchema = z.object({
  id: z.string(),
  /** Runs that are present or may be. */
  runs: z.number(),
  /** Runs of lasting steps among them. */
  lasting: z.number(),
  /** Whether its owner starts nothing new there, as we asked. */
  evacuating: z.boolean(),
  /** Thousandths of a core in use. */
  usedCpu: z.number(),
  /** Whether it works so badly that its owner keeps tasks off it. */
  suspect: z.boolean().default(false),
})
/** One target of a service, as its owner sees it. */
export type TargetLoad = z.infer<typeof targetLoadSchema>

/** State of a service, as its owner reports it. */
export const serviceReportSchema = z.object({
  service: z.string(),
  /** Term of its owner: reports of a later owner count more. */
  term: z.number(),
  /** Rises with each report of one owner: a call that was slow may come after newer ones. */
  sequence: z.number(),
  /** Thousandths of a core that its tasks need, now and soon. */
  neededCpu: z.number(),
  /** The part of it that is for jobs which can still meet their objective. */
  timelyCpu: z.number(),
  /** Least number of targets on which its lasting steps fit. */
  minTargets: z.number(),
  targets: z.array(targetLoadSchema),
})
/** State of a service, as its owner reports it. */
export type ServiceReport = z.infer<typeof serviceReportSchema>

/** Answer of the fleet's owner to a report. */
export const fleetAnswerSchema = z.object({
  /** Targets that get no new tasks, because their VM is wanted elsewhere. */
  evacuate: z.array(z.string()),
  /** Targets among them whose long tasks should be stopped now. */
  hurry: z.array(z.string()),
  /** Lives that an accepted order of ours has ended. */
  ended: z.array(z.string()),
})
/** Answer of the fleet's owner to a report. */
export type FleetAnswer = z.infer<typeof fleetAnswerSchema>

/** The answer that empties nothing and opens everything. */
export const NOTHING_TO_EMPTY: FleetAnswer = { evacuate: [], hurry: [], ended: [] }
