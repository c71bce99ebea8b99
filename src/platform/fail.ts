/** Creates the errors of this directory. */
import { err } from 'neverthrow'
import type { Err } from 'neverthrow'
import { PlatformError } from '../shared/index.js'
import type { PlatformFailure } from '../shared/index.js'

/** Returns the error result of a failed call. */
export function platformFailure(
  step: string,
  failure: PlatformFailure,
  reason: string,
  peer?: string,
): Err<never, PlatformError> {
  const props = { step: `platform.${step}`, failure, ...(peer && { peer }) }
  return err(new PlatformError(reason, { props }))
}
