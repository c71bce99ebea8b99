/** A minimal configuration in the platform's wire format: one queue and a pool of idle VMs. */

/** Host header of requests to the queue. */
export const QUEUE_HOST = 'q.example'
/** Path prefix of requests to the queue. */
export const QUEUE_PATH = '/one/'
export const QUEUE_NAME = 'r-one'
/** Service whose targets run the tasks of the queue. */
export const QUEUE_SERVICE = 'one'

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
