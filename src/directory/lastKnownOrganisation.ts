/** Organisations that a later configuration may have removed. */
import type { Configuration, Organisation } from '../ports/index.js'

/** The organisation as last configured, also if a later configuration removed it. */
export const lastKnownOrganisation = (
  cfg: Configuration | undefined,
  name: string,
): Organisation | undefined =>
  cfg?.organisations?.get(name) ?? cfg?.formerOrganisations?.get(name)
