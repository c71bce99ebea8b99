/**
 * Settings of `rillshunt-node`. The platform writes the file and may use sections, keys
 * or values that this version does not support. Unknown sections and keys, and invalid
 * values of the keys in {@link KEYS_WITH_FALLBACK}, are ignored and reported: a node that
 * refused to start because of them would fail on every VM at once.
 */
import { parse } from 'ini'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import type { ConfigError } from '../shared/index.js'
import { KEYS_WITH_FALLBACK, nodeConfigSchema } from './nodeSchema.js'
import type { NodeConfig } from './nodeSchema.js'
import { INLINE_SOURCE, loadSettings, resolveSections } from './resolveConfig.js'
import type { RawSections } from './resolveConfig.js'

/** Settings of a node, and the parts of the file that are ignored. */
export interface LoadedNodeConfig {
  cfg: NodeConfig
  /** One message for each ignored section or key. */
  ignored: string[]
}

/** A settings file split into the parts that are used and messages about the others. */
interface SeparatedSettings {
  used: RawSections
  ignored: string[]
}

/** Returns why a value is ignored; undefined if it is used. */
function reasonIgnored(section: string, key: string, value: unknown): string | undefined {
  const shape: z.ZodRawShape = nodeConfigSchema.shape[section as keyof NodeConfig].shape
  const schema = shape[key] as z.ZodType | undefined
  if (!schema) return 'unknown key'
  if (!KEYS_WITH_FALLBACK[section]?.includes(key)) return undefined
  const res = schema.safeParse(value)
  return res.success ? undefined : res.error.issues[0]?.message
}

function separateIgnored(user: Record<string, unknown>): SeparatedSettings {
  const result: SeparatedSettings = { used: {}, ignored: [] }
  for (const [section, keys] of Object.entries(user)) {
    if (typeof keys !== 'object' || keys === null) {
      result.ignored.push(`${section}: stands before any section`)
      continue
    }
    if (!Object.hasOwn(nodeConfigSchema.shape, section)) {
      result.ignored.push(`[${section}]: unknown section`)
      continue
    }
    const used: Record<string, unknown> = {}
    for (const [key, value] of Object.entries(keys)) {
      const reason = reasonIgnored(section, key, value)
      if (reason === undefined) used[key] = value
      else result.ignored.push(`[${section}] ${key}: ${reason}`)
    }
    result.used[section] = used
  }
  return result
}

/** Parses settings from INI text. A key without a value counts as absent. */
export function parseNodeConfig(
  text: string,
  source: string = INLINE_SOURCE,
): Result<LoadedNodeConfig, ConfigError> {
  const withoutEmptyKeys = text.replace(/^[a-z_]+ *= *$/gm, '')
  const { used, ignored } = separateIgnored(parse(withoutEmptyKeys))
  const cfg = resolveSections(nodeConfigSchema, used, source)
  return cfg.map((resolved) => ({ cfg: resolved, ignored }))
}

/** Reads settings from an INI file. */
export const loadNodeConfig = (file: string) => loadSettings(file, parseNodeConfig)
