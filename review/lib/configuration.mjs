/** Configurations of the operator, like those of the small deployment tsb-sofia. */
import { HOST } from './system.mjs'

/** Attempts that each queue allows a task. */
export const MAX_ATTEMPTS = 3

/** Pools of minions, the last of which is spare. */
export const POOLS = { 'timing-svc': 4, 'verify-svc': 4, 'misc-svc': 4 }

/** A route of the host that all clients use. */
export const route = (name, path, service) => ({
  name,
  host: HOST,
  path_prefix: path,
  kind: 'unsafe',
  timeout_ms: 3000,
  target_latency_ms: 600,
  priority: 0,
  service,
  max_attempts: MAX_ATTEMPTS,
  stretch: 1.6,
})

/** A configuration with the services of all pools. */
export const configuration = (version, routes) => ({
  version,
  routes,
  services: Object.keys(POOLS).map((name) => ({
    name,
    admission_check: true,
    spare: name === 'misc-svc',
  })),
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
})

/** Id of the job with a number. */
export const jobId = (number) => `5c0e7a21d94b36${number.toString(16).padStart(2, '0')}`

/** A job of one task that takes `ms` of work. */
export const oneTaskJob = (ms) => ({
  spec: JSON.stringify({ ms, cpu: 2000 }),
  steps: [{ count: 1, cpu: 2000, mem_mb: 256, estimated_ms: ms }],
})
