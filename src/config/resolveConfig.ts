/** Reads, validates and prints settings. */
import { readFile } from 'node:fs/promises'
import { parse, stringify } from 'ini'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { ConfigError, describeError } from '../shared/index.js'
import { configSchema } from './schema.js'
import type { ResolvedConfig, UserConfig } from './schema.js'

/** Source named in error messages if the settings do not come from a file. */
export const INLINE_SOURCE = 'settings'

/** Settings as a file holds them: text values by section and key. */
export type RawSections = Record<string, Record<string, unknown>>

/** Validates settings by a schema and fills in defaults. Errors name section and key. */
export function resolveSections<S extends z.ZodObject>(
  schema: S,
  user: RawSections,
  source: string,
): Result<z.output<S>, ConfigError> {
  const emptySections = Object.keys(schema.shape).map((name) => [name, {}])
  const checked = schema.safeParse({ ...Object.fromEntries(emptySections), ...user })
  if (checked.success) return ok(checked.data)
  const lines = checked.error.issues.flatMap((issue) =>
    describeIssue(schema, issue, user),
  )
  return err(configError(lines.map((line) => `${source}: ${line}`).join('\n')))
}

function parseSections<S extends z.ZodObject>(
  schema: S,
  text: string,
  source: string,
): Result<z.output<S>, ConfigError> {
  const parsed = parse(text)
  for (const [key, value] of Object.entries(parsed)) {
    if (typeof value === 'object' && value !== null) continue
    const sections = Object.keys(schema.shape).join(', ')
    const message = `key '${key}' stands before any section; allowed sections: ${sections}`
    return err(configError(`${source}: ${message}`))
  }
  return resolveSections(schema, parsed as RawSections, source)
}

/** Validates settings given as an object. Errors name section and key. */
export function resolveConfig(
  user: UserConfig,
  source: string = INLINE_SOURCE,
): Result<ResolvedConfig, ConfigError> {
  return resolveSections(configSchema, user as RawSections, source)
}

/** Parses settings from INI text. */
export function parseConfig(
  text: string,
  source: string = INLINE_SOURCE,
): Result<ResolvedConfig, ConfigError> {
  return parseSections(configSchema, text, source)
}

/** Reads and parses a settings file. Errors name the file. */
export async function loadSettings<T>(
  file: string,
  read: (text: string, source: string) => Result<T, ConfigError>,
): Promise<Result<T, ConfigError>> {
  try {
    return read(await readFile(file, 'utf8'), file)
  } catch (cause) {
    return err(configError(`${file}: cannot be read: ${describeError(cause)}`))
  }
}

/** Reads settings from an INI file. */
export const loadConfig = (file: string) => loadSettings(file, parseConfig)

/** Prints resolved settings as INI that parses back: durations in ms, sizes in bytes. */
export function printConfig(cfg: ResolvedConfig): string {
  const peers = Object.entries(cfg.peers).map(([id, peer]) => {
    const host = peer.host.includes(':') ? `[${peer.host}]` : peer.host
    const role = peer.role === 'keeper' ? ' keeper' : ''
    return [id, `${peer.hall} ${host}:${peer.port}${role}`] as const
  })
  const printable: Record<string, Record<string, unknown>> = {
    ...cfg,
    peers: Object.fromEntries(peers),
  }
  for (const [name, keys] of Object.entries(UNIT_OF_KEY)) {
    const section = { ...printable[name] }
    for (const [key, unit] of Object.entries(keys))
      section[key] = `${section[key]}${unit}`
    printable[name] = section
  }
  return stringify(printable, { whitespace: true })
}

/** Units that {@link printConfig} appends to resolved numbers. */
const UNIT_OF_KEY: Record<string, Record<string, string>> = {
  platform: { timeout: 'ms', poll: 'ms', max_backoff: 'ms' },
  requests: {
    deadline: 'ms',
    once_memory: 'ms',
    connect_timeout: 'ms',
    health_interval: 'ms',
    drain_notice: 'ms',
    buffer_body: 'B',
  },
  keeper: { lease: 'ms', cycle: 'ms', reboot_timeout: 'ms' },
}

function configError(message: string): ConfigError {
  return new ConfigError(message, { props: { step: 'config.resolve' } })
}

function describeIssue(
  schema: z.ZodObject,
  issue: z.core.$ZodIssue,
  user: RawSections,
): string[] {
  const [section, key] = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((unknown) => describeUnknown(schema, section, unknown))
  }
  if (section === undefined) return [issue.message]
  if (key === undefined) return [`[${section}]: ${issue.message}`]
  const rawValue = user[section]?.[key]
  if (rawValue === undefined) return [`[${section}] ${key}: is required`]
  return [`[${section}] ${key}: ${issue.message}`]
}

function describeUnknown(
  schema: z.ZodObject,
  section: string | undefined,
  key: string,
): string {
  if (section === undefined) {
    const allowed = Object.keys(schema.shape).join(', ')
    return `unknown section [${key}]; allowed: ${allowed}`
  }
  return `[${section}] ${key}: unknown key; allowed: ${allowedKeys(section, schema).join(', ')}`
}

/** Keys of a section, for error messages and the test of the documentation. */
export function allowedKeys(
  section: string,
  schema: z.ZodObject = configSchema,
): string[] {
  const sectionSchema = schema.shape[section]
  return sectionSchema instanceof z.ZodObject ? Object.keys(sectionSchema.shape) : []
}
