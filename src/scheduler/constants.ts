/** Time-outs, intervals and limits of the scheduler. Times are in ms of the monotonic clock. */

/**
 * Lease of everything that runs on a target. It exceeds the time to detect a dead owner and take
 * over (about 4 s), so that running tasks outlive their owner. A shorter lease lets the tasks of
 * a silent target restart sooner.
 */
export const TASK_LEASE_MS = 6000
/** Longest lease that a target grants, even if an order asks for a later end. */
export const MAX_LEASE_MS = 10_000
/** Share by which a target's clock may run slower than the owner's: twice the platform's 2 %. */
export const MAX_CLOCK_DRIFT = 0.04
/** Added to the end of a lease before its tasks count as dead; covers timers that fire late. */
export const LEASE_MARGIN_MS = 300
/** Long poll for ended runs. Each poll also renews the leases: six times per lease. */
export const SYNC_WAIT_MS = 1000
/**
 * Long poll of a target without tasks while its owner is behind, the longest that targets accept: polls
 * of many idle targets would take the processor time that its starts need.
 */
export const IDLE_SYNC_WAIT_MS = 2000
/** Long poll while tasks that use spare processor time are paced by the reports. */
export const PACED_SYNC_WAIT_MS = 500
/**
 * Long poll while tasks that end by themselves are running. If one poll gets no answer, the next
 * still reports an end well within the time that callers allow beyond the work of a job.
 */
export const FINITE_TASK_SYNC_WAIT_MS = 300
/** A target that has not answered for this long is silent. */
export const ANSWER_TIMEOUT_MS = 700
/** Shortest time-out of a single call to a target. */
export const MIN_ANSWER_TIMEOUT_MS = 100
/** Extra wait before a target is asked whether a run is stable; covers clock differences. */
export const STABLE_CHECK_MARGIN_MS = 20
/** Pause after a failed sync. */
export const SYNC_RETRY_MS = 150
/** Longest wait for ends to become durable before leases are renewed again. */
export const MAX_ACK_WAIT_MS = 400
/** Time for which ended runs are collected before they are written. */
export const FLUSH_DELAY_MS = 40
/** Shortest pause after a refused or unanswered write before the next one; jittered. */
export const FLUSH_RETRY_MS = 100
/** Time without new starts on a target that refused one for lack of room. */
export const FULL_PAUSE_MS = 200
/** Time without new starts on a target that did not accept an order. */
export const REFUSED_PAUSE_MS = 600
/** Interval between reads of new jobs that no entry has announced. */
export const INTAKE_POLL_MS = 1000
/**
 * Remaining lease, half of the whole, that is required before more parts of the intake are read.
 * Four pages occupy a slow link for 0.4 s, and the next renewal shares the link with them.
 */
export const MIN_LEASE_FOR_READS_MS = 600
/**
 * Pause during a takeover before each read of further parts of queues that are configured for
 * other services and have brought this one no jobs. Jobs that are known by then take precedence.
 * The pauses add 2.4 s for eight queues of eight parts.
 */
export const OTHER_QUEUES_READ_PAUSE_MS = 200
/** Interval between checks of the remaining lease; short compared with the renewal interval. */
export const LEASE_CHECK_INTERVAL_MS = 25
/** Longest wait for that lease before a few parts are read regardless: one lease. */
export const MAX_LEASE_WAIT_MS = 1200
/**
 * Age of the last read of the intake up to which an owner reports how many jobs wait. Callers are
 * told of a job within 3 s of its acceptance, so that an older read would give too low a count.
 */
export const MAX_INTAKE_AGE_MS = 3000
/** Interval between checks of jobs that are held because one of their rows is unreadable. */
export const HELD_JOBS_CHECK_INTERVAL_MS = 1000
/**
 * Maximum number of held jobs in one check. Each costs one read, and all nodes share a limit of
 * some thousands of reads per second.
 */
export const MAX_HELD_JOB_READS = 10
/** Run numbers that each new owner skips, for starts of its predecessor that it does not know. */
export const RUNS_PER_TERM = 1000
/** The lowest number of the runs that the owner of a term starts. */
export const firstRunOf = (term: number): number => (term - 1) * RUNS_PER_TERM + 1
/** Fencing tokens per term: the token is raised within a term when an order gets no answer. */
export const TOKENS_PER_TERM = 65_536
/** Interval between checks for due repetitions, finished rows and silent targets. */
export const HOUSEKEEPING_INTERVAL_MS = 250
/** Retention of the rows of finished jobs; the platform requires at least 120 s. */
export const FINISHED_RETENTION_MS = 180_000
/** Interval between checks for finished jobs whose rows are to be moved or removed. */
export const FINISHED_CHECK_INTERVAL_MS = 250
/** Number of finished jobs that triggers a write; each write is a call to the store. */
export const MIN_FINISHED_PER_WRITE = 8
/**
 * Longest wait of a finished job for others to share its write. Until that write a takeover still
 * reads the job.
 */
export const MAX_FINISHED_WAIT_MS = 3000
/**
 * Longest wait of a new owner for the first answer of the fleet's owner. Until then the fleet's
 * owner may still act on the predecessor's last report, which is valid for 0.6 s and may have
 * taken 0.4 s to arrive.
 */
export const MAX_FLEET_ANSWER_WAIT_MS = 1100
/**
 * Longest wait of a new owner for its first read of the changes to the intake: one call, which
 * takes 1 s on a saturated processor. If the store does not answer by then, inherited tasks start
 * without it.
 */
export const MAX_FIRST_READ_WAIT_MS = 4000
/**
 * Time for which the list of targets must have been read without a gap before a target that is
 * missing from it counts as leaving. Entries that lapse during an outage of the store are back
 * within about 2 s of its return.
 */
export const MIN_STEADY_LIST_MS = 2500
/**
 * Shortest interval between two plans. Each new job and each ended run requests a plan, some
 * hundreds per second at a peak, and a plan examines all waiting tasks: 0.8 ms on average for 300
 * jobs of 8 tasks and 100 full targets. A start is delayed by at most this interval, which is small
 * compared with the 0.6 s of delay that callers allow a job.
 */
export const MIN_PLAN_INTERVAL_MS = 5
/**
 * Largest share of time in which an owner plans. A plan examines all waiting tasks, so that its cost
 * grows with the backlog; without a limit, an owner with a backlog has less time for its starts.
 */
export const MAX_PLAN_SHARE = 0.2
