/** The smallest configuration, in the platform's wire format: one queue, and a pool of idle VMs. */

/** Host by which callers name the queue. */
export const QUEUE_HOST = 'q.example'
/** Path under which callers hand jobs in. */
export const QUEUE_PATH = '/one/'
/** Name of the queue. */
export const QUEUE_NAME = 'r-one'
/** Name of the service whose targets run its tasks. */
export const QUEUE_SERVICE = 'one'

/** The configuration. */
export const ONE_QUEUE = {
  version: 3,
  routes: [
    {
      name: QUEUE_NAME,
      host: QUEUE_HOST,
      path_prefix: QUEUE_PATH,
      kind: 'unsafe',
      timeout_ms: 3000,
      target_latency_ms: 600,
      priority: 0,
      service: QUEUE_SERVICE,
      max_attempts: 3,
      stretch: 1.6,
    },
  ],
  services: [
    { name: QUEUE_SERVICE, admission_check: true, spare: false },
    { name: 'idle', admission_check: true, spare: true },
  ],
  limits: { max_body_bytes: 20_000 },
}
