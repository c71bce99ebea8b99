/** Reads, checks and prints settings. */
import { readFile } from 'node:fs/promises'
import { parse, stringify } from 'ini'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { ConfigError, describeError } from '../shared/index.js'
import { configSchema } from './schema.js'
import type { ResolvedConfig, UserConfig } from './schema.js'

/** Name in messages for settings that come from no file. */
const INLINE_SOURCE = 'settings'

/** Checks settings given as an object; the errors name section and key. */
export function resolveConfig(
  user: UserConfig,
  source: string = INLINE_SOURCE,
): Result<ResolvedConfig, ConfigError> {
  const absent = Object.keys(configSchema.shape).map((name) => [name, {}])
  const checked = configSchema.safeParse({ ...Object.fromEntries(absent), ...user })
  if (checked.success) return ok(checked.data)
  const lines = checked.error.issues.flatMap((issue) => describeIssue(issue, user))
  return err(configError(lines.map((line) => `${source}: ${line}`).join('\n')))
}

/** Reads settings from INI text. */
export function parseConfig(
  text: string,
  source: string = INLINE_SOURCE,
): Result<ResolvedConfig, ConfigError> {
  const stray = parse(text)
  for (const [key, value] of Object.entries(stray)) {
    if (typeof value === 'object' && value !== null) continue
    const sections = Object.keys(configSchema.shape).join(', ')
    const message = `key '${key}' stands before any section; allowed sections: ${sections}`
    return err(configError(`${source}: ${message}`))
  }
  return resolveConfig(stray as UserConfig, source)
}

/** Reads settings from an INI file. */
export async function loadConfig(
  file: string,
): Promise<Result<ResolvedConfig, ConfigError>> {
  try {
    return parseConfig(await readFile(file, 'utf8'), file)
  } catch (cause) {
    return err(configError(`${file}: cannot be read: ${describeError(cause)}`))
  }
}

/** Prints resolved settings as INI: durations in ms, sizes in bytes, ready to be read again. */
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

/** Units that {@link printConfig} puts behind resolved numbers. */
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

function describeIssue(issue: z.core.$ZodIssue, user: UserConfig): string[] {
  const [section, key] = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((unknown) => describeUnknown(section, unknown))
  }
  if (section === undefined) return [issue.message]
  if (key === undefined) return [`[${section}]: ${issue.message}`]
  const given = (user as Record<string, Record<string, unknown>>)[section]?.[key]
  if (given === undefined) return [`[${section}] ${key}: is required`]
  return [`[${section}] ${key}: ${issue.message}`]
}

function describeUnknown(section: string | undefined, key: string): string {
  if (section === undefined) {
    const allowed = Object.keys(configSchema.shape).join(', ')
    return `unknown section [${key}]; allowed: ${allowed}`
  }
  return `[${section}] ${key}: unknown key; allowed: ${allowedKeys(section).join(', ')}`
}

/** Keys of a section, for messages and for the check of the docs. */
export function allowedKeys(section: string): string[] {
  const schema = configSchema.shape[section as keyof ResolvedConfig]
  return 'shape' in schema ? Object.keys(schema.shape) : []
}
