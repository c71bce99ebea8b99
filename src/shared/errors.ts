/**
 * Error classes. Each error carries the step that failed and, if any, the peer at which it
 * arose. Functions return errors inside a `Result`; nothing in `src/` throws them across
 * module boundaries.
 */
import ModernError from 'modern-errors'

/** Where an error arose. */
export interface ErrorPlace {
  /** Operation that failed, as `area.step`. */
  step: string
  /** Address, VM id or node id of the other side, if any. */
  peer?: string
}

const place: ErrorPlace = { step: 'unknown' }

/** Base class of all errors of rillshunt. */
export const RillshuntError = ModernError.subclass('RillshuntError', { props: place })

/** Invalid settings; the message names file, section and key. */
export const ConfigError = RillshuntError.subclass('ConfigError')

/** How a platform call failed, and so what is known about its effect. */
export type PlatformFailure =
  /** The platform refused it for now; it had no effect. */
  | 'refused'
  /** The platform refused it for good; it had no effect, and the same call would have none. */
  | 'rejected'
  /** It was not sent; it had no effect. */
  | 'unreachable'
  /** It was sent, and no usable reply came back; it may have taken effect. */
  | 'unknown'
  /** The history from which the reader continues was compacted; it must read from scratch. */
  | 'compacted'

/** A platform call that failed. */
export const PlatformError = RillshuntError.subclass('PlatformError', {
  props: { failure: 'unknown' as PlatformFailure },
})

/** A call to another process of rillshunt that failed. */
export const PeerError = RillshuntError.subclass('PeerError')

/** Rejected content of the operators' table. */
export const TableError = RillshuntError.subclass('TableError')

/** A kernel that cannot start or stop its services. */
export const KernelError = RillshuntError.subclass('KernelError')

export type RillshuntError = InstanceType<typeof RillshuntError>
export type ConfigError = InstanceType<typeof ConfigError>
export type PlatformError = InstanceType<typeof PlatformError>
export type PeerError = InstanceType<typeof PeerError>
export type TableError = InstanceType<typeof TableError>
export type KernelError = InstanceType<typeof KernelError>

/** Describes any thrown value in one line of text. */
export function describeError(err: unknown): string {
  if (!(err instanceof Error)) return String(err)
  const place = err as Partial<ErrorPlace>
  const at = [place.step, place.peer].filter(Boolean).join(' at ')
  return at === '' ? err.message : `${err.message} (${at})`
}
