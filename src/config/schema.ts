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

/** Keeps section objects strict, so that a misspelt key is an error. */
const section = <T extends z.ZodRawShape>(shape: T) => z.strictObject(shape)

/** Who this process is. */
const node = section({
  /** Unique name of the process. Required. */
  id: identifier(),
  /** Data hall that it stands in. Required. */
  hall: identifier(),
  /**
   * Region of the hall.
   * @default 'default'
   */
  region: identifier().prefault('default'),
})

/** Addresses that this process opens. */
const listen = section({
  /**
   * IP number of every listener.
   * @default '127.0.0.1'
   */
  address: ipAddress().prefault('127.0.0.1'),
  /**
   * Port for callers; 0 takes a free one.
   * @default 7080
   */
  port: port().prefault('7080'),
  /**
   * Port for /healthz, /readyz and /metrics.
   * @default 7081
   */
  ops_port: port().prefault('7081'),
  /**
   * Port for other processes of rillshunt.
   * @default 7082
   */
  peer_port: port().prefault('7082'),
})

/** The platform's table service, object store, list and tasks. */
const platform = section({
  /** Where the platform answers. Required. */
  url: httpUrl(),
  /**
   * Longest wait for one call.
   * @default '2s'
   */
  timeout: duration().prefault('2s'),
  /**
   * Time between two conditional reads of the table and the rows.
   * @default '1s'
   */
  poll: duration().prefault('1s'),
  /**
   * Longest pause between retries in an outage.
   * @default '5s'
   */
  max_backoff: duration().prefault('5s'),
})

/** How requests are served. */
const requests = section({
  /**
   * Time that a request may take where the caller names none.
   * @default '30s'
   */
  deadline: duration().prefault('30s'),
  /**
   * Longest wait for a connection to a target, identity check included.
   * @default '1s'
   */
  connect_timeout: duration().prefault('1s'),
  /**
   * Attempts per request at the most, the first included.
   * @default 3
   */
  attempts: wholeNumber(1, 10).prefault('3'),
  /**
   * Retries allowed per fresh request, on average.
   * @default 0.1
   */
  retry_share: fraction().prefault('0.1'),
  /**
   * Bodies up to this size are read before routing and can be sent again.
   * @default '64KiB'
   */
  buffer_body: size().prefault('64KiB'),
  /**
   * Requests that may wait per service and entry.
   * @default 512
   */
  queue: wholeNumber(0, 100_000).prefault('512'),
  /**
   * Time for which unrepeatable requests are remembered.
   * @default '10m'
   */
  once_memory: duration().prefault('10m'),
  /**
   * Time between two health checks of a target.
   * @default '1s'
   */
  health_interval: duration().prefault('1s'),
  /**
   * Time that the balancer needs to see that an entry is stopping.
   * @default '2s'
   */
  drain_notice: duration().prefault('2s'),
})

/** Control: leases, pools, placement and waves. */
const keeper = section({
  /**
   * Whether an entry also runs the keeper in its own process.
   * @default 'no'
   */
  hosted: toggle().prefault('no'),
  /**
   * Time after which the lease of a silent holder may be taken.
   * @default '6s'
   */
  lease: duration().prefault('6s'),
  /**
   * Time between two rounds of decisions.
   * @default '1s'
   */
  cycle: duration().prefault('1s'),
  /**
   * Time for a VM to come back from a reboot before the wave halts.
   * @default '10m'
   */
  reboot_timeout: duration().prefault('10m'),
})

/** Structured log. */
const log = section({
  /**
   * Lowest level that is written: error, warn, info or debug.
   * @default 'info'
   */
  level: z.enum(['error', 'warn', 'info', 'debug']).prefault('info'),
  /**
   * One line per routing decision.
   * @default 'on'
   */
  routing: toggle().prefault('on'),
})

/** The whole of the settings. */
export const configSchema = z.strictObject({
  node,
  listen,
  platform,
  /**
   * Every process of rillshunt, as `ID = HALL IP:PORT`; ` keeper` behind it marks a
   * process that only runs the keeper. The same list may be given to all.
   */
  peers: z.record(z.string(), peerAddress()),
  requests,
  keeper,
  log,
})

/** Settings as the program uses them: durations in ms, sizes in bytes. */
export type ResolvedConfig = z.output<typeof configSchema>

/** Settings as a file holds them: every value is text, most may be left out. */
export type UserConfig = {
  [Section in keyof ResolvedConfig]?: {
    [Key in keyof ResolvedConfig[Section]]?: string
  }
}
