/**
 * Schema of the settings. {@link UserConfig} is what a file may hold,
 * {@link ResolvedConfig} what the program uses. `docs/config.md` lists every key.
 */
import { z } from 'zod'
import {
  duration,
  httpUrl,
  identifier,
  ipAddress,
  peerAddress,
  port,
  fraction,
  size,
  toggle,
  wholeNumber,
} from './values.js'

/** Least memory with which a process can run, in MB. */
const MIN_MEMORY_MB = 128
/** Fewest descriptors with which a process can run. */
const MIN_DESCRIPTORS = 256

/** Limits of the VM; both kinds of settings have these keys. */
export const limitKeys = {
  /**
   * Memory of the VM that the process may use, in MB.
   * @default 160
   */
  memory_mb: wholeNumber(MIN_MEMORY_MB, 1_000_000).prefault('160'),
  /**
   * Descriptors that the process may have open.
   * @default 1024
   */
  file_descriptors: wholeNumber(MIN_DESCRIPTORS, 10_000_000).prefault('1024'),
}

/** Limits of the VM in a section of settings; the defaults if it is not valid. */
export function vmLimitsOf(settings: unknown) {
  const schema = z.object(limitKeys)
  const parsed = schema.safeParse(settings)
  return parsed.success ? parsed.data : schema.parse({})
}

/** A strict object, so that a misspelt key is an error. */
const section = <T extends z.ZodRawShape>(shape: T) => z.strictObject(shape)

/** Identity of this process. */
const node = section({
  /** Unique name of the process. Required. */
  id: identifier(),
  /** Data hall that the process runs in. Required. */
  hall: identifier(),
  /**
   * Region of the hall.
   * @default 'default'
   */
  region: identifier().prefault('default'),
})

/** Address and ports that this process listens on. */
const listen = section({
  /**
   * IP address of every listener.
   * @default '127.0.0.1'
   */
  address: ipAddress().prefault('127.0.0.1'),
  /**
   * Port for callers; 0 picks a free port.
   * @default 7080
   */
  port: port().prefault('7080'),
  /**
   * Port for /healthz, /readyz and /metrics.
   * @default 7081
   */
  ops_port: port().prefault('7081'),
  /**
   * Port for other rillshunt processes.
   * @default 7082
   */
  peer_port: port().prefault('7082'),
})

/** Connection to the platform: table service, object store, list of VMs and tasks. */
const platform = section({
  /** Base URL of the platform. Required. */
  url: httpUrl(),
  /**
   * Time-out of one call.
   * @default '2s'
   */
  timeout: duration().prefault('2s'),
  /**
   * Interval between conditional reads of the table and the rows.
   * @default '1s'
   */
  poll: duration().prefault('1s'),
  /**
   * Longest backoff between retries in an outage.
   * @default '5s'
   */
  max_backoff: duration().prefault('5s'),
})

/** How requests are served. */
const requests = section({
  /**
   * Deadline of a request if the caller sets none.
   * @default '30s'
   */
  deadline: duration().prefault('30s'),
  /**
   * Time-out for connecting to a target, identity check included.
   * @default '1s'
   */
  connect_timeout: duration().prefault('1s'),
  /**
   * Maximum number of attempts per request, the first included.
   * @default 3
   */
  attempts: wholeNumber(1, 10).prefault('3'),
  /**
   * Retries allowed per new request, on average.
   * @default 0.1
   */
  retry_share: fraction().prefault('0.1'),
  /**
   * Bodies up to this size are buffered before routing, so that they can be sent again.
   * @default '64KiB'
   */
  buffer_body: size().prefault('64KiB'),
  /**
   * Maximum number of queued requests per service and entry.
   * @default 512
   */
  queue: wholeNumber(0, 100_000).prefault('512'),
  /**
   * How long the ids of unrepeatable requests are kept.
   * @default '10m'
   */
  once_memory: duration().prefault('10m'),
  /**
   * Interval between health checks of a target.
   * @default '1s'
   */
  health_interval: duration().prefault('1s'),
  /**
   * Time that the load balancer needs to notice that an entry is stopping.
   * @default '2s'
   */
  drain_notice: duration().prefault('2s'),
})

/** The keeper: leases, pools, placement and waves. */
const keeper = section({
  /**
   * Whether an entry also runs the keeper in its own process.
   * @default 'no'
   */
  hosted: toggle().prefault('no'),
  /**
   * Time without renewal after which another keeper may take the lease.
   * @default '6s'
   */
  lease: duration().prefault('6s'),
  /**
   * Interval between rounds of decisions.
   * @default '1s'
   */
  cycle: duration().prefault('1s'),
  /**
   * Longest time a VM may take to reboot before the wave halts.
   * @default '10m'
   */
  reboot_timeout: duration().prefault('10m'),
})

/** Limits of the VM, which this process must not exceed. */
const limits = section(limitKeys)

/** Structured log. */
const log = section({
  /**
   * Least severe level that is logged: error, warn, info or debug.
   * @default 'info'
   */
  level: z.enum(['error', 'warn', 'info', 'debug']).prefault('info'),
  /**
   * Whether every routing decision is logged.
   * @default 'on'
   */
  routing: toggle().prefault('on'),
})

/** Schema of all settings. */
export const configSchema = z.strictObject({
  node,
  listen,
  platform,
  /**
   * All rillshunt processes, as `ID = HALL IP:PORT`; a trailing ` keeper` marks a process
   * that only runs the keeper. The list may name this process too, so that all processes
   * can share one list.
   */
  peers: z.record(z.string(), peerAddress()),
  requests,
  keeper,
  limits,
  log,
})

/** Settings as the program uses them: durations in ms, sizes in bytes. */
export type ResolvedConfig = z.output<typeof configSchema>

/** Settings as a file holds them: every value is text, and most are optional. */
export type UserConfig = {
  [Section in keyof ResolvedConfig]?: {
    [Key in keyof ResolvedConfig[Section]]?: string
  }
}
