/**
 * The operators' table: one line per pool, service and maintenance wave. Writers
 * and readers validate it with the same schema. `docs/table.md` describes each column.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'

/** Kinds of lines. */
export const LINE_KINDS = ['pool', 'service', 'wave'] as const
export type LineKind = (typeof LINE_KINDS)[number]

/** Pool of the VMs of a hall that are in no other pool. It has no line in the table. */
export const RESERVE_POOL = 'reserve'

const MAX_WEIGHT = 1000
const MAX_LIMIT = 1_000_000
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/

const numberInRange = (min: number, max: number) => {
  const rule = `a number from ${min} to ${max}`
  return z
    .string()
    .refine(
      (text) => text.trim() !== '' && Number(text) >= min && Number(text) <= max,
      rule,
    )
    .transform(Number)
}
const wholeNumberInRange = (min: number, max: number) => {
  const rule = `a whole number from ${min} to ${max}`
  return z
    .string()
    .refine(
      (text) => /^\d+$/.test(text) && Number(text) >= min && Number(text) <= max,
      rule,
    )
    .transform(Number)
}
const name = () =>
  z.string().regex(NAME_PATTERN, 'a name of a-z, 0-9 and dashes, at most 63')
const oneOf = <const T extends readonly [string, ...string[]]>(words: T) =>
  z.enum(words, { error: `one of ${words.join(', ')}` })

const poolSchema = z.strictObject({
  /** Share of the VMs when they are scarce. */
  weight: numberInRange(0, MAX_WEIGHT),
  /** Maximum number of its VMs in a hall. */
  limit: wholeNumberInRange(0, MAX_LIMIT),
})

const serviceSchema = z.strictObject({
  /** Share of the dispatch turns relative to other services. */
  weight: numberInRange(0, MAX_WEIGHT),
  /** Maximum number of requests in flight over all entries. */
  limit: wholeNumberInRange(0, MAX_LIMIT),
  /** Pool whose VMs run it. */
  pool: name(),
  /** Team that owns it. */
  team: name().prefault('default'),
  /** Instances in each hall. */
  instances: wholeNumberInRange(0, 10_000).prefault('1'),
  /** Maximum number of requests that one instance serves at a time. */
  slots: wholeNumberInRange(1, 10_000).prefault('8'),
  /** Declared number of processors of an instance. */
  cpus: numberInRange(0, 1024).prefault('2'),
  /** Declared memory of an instance, in GB. */
  memory_gb: numberInRange(0, 65_536).prefault('4'),
  /** Maximum number of instances that operations stop at once, over all halls. */
  budget: wholeNumberInRange(0, 10_000).prefault('1'),
  /** Which requests are served first under overload. */
  priority: oneOf(['urgent', 'normal', 'deferrable']).prefault('normal'),
})

const waveSchema = z.strictObject({
  /** Order among waves; the highest weight goes first. */
  weight: numberInRange(0, MAX_WEIGHT),
  /** Maximum number of VMs of a hall in maintenance at once. */
  limit: wholeNumberInRange(0, MAX_LIMIT),
  /** Pool whose VMs are maintained. */
  pool: name(),
  /** Whether the wave runs, is paused or is cancelled. */
  state: oneOf(['run', 'paused', 'cancelled']).prefault('run'),
})

const SCHEMAS = { pool: poolSchema, service: serviceSchema, wave: waveSchema } as const

export type PoolLine = z.output<typeof poolSchema>
export type ServiceLine = z.output<typeof serviceSchema>
export type WaveLine = z.output<typeof waveSchema>

/** The parsed table, with defaults filled in. */
export interface Table {
  pools: Map<string, PoolLine>
  services: Map<string, ServiceLine>
  waves: Map<string, WaveLine>
}

/** Cells as text, by line (`kind/name`) and column. Absent cells take the default. */
export type RawTable = Record<string, Record<string, string>>

/** Schema of a raw table on the wire. */
export const rawTableSchema = z.record(z.string(), z.record(z.string(), z.string()))

/** One invalid cell and the rule that it breaks. */
export interface CellError {
  row: string
  column: string
  value: string
  rule: string
}

/** Columns of a kind of line, in order. */
export function columnsOf(kind: LineKind): string[] {
  return Object.keys(SCHEMAS[kind].shape)
}

/** All columns of all kinds, in the order of an exported sheet. */
export function allColumns(): string[] {
  return [...new Set(LINE_KINDS.flatMap(columnsOf))]
}

/** Splits `kind/name`; undefined if the kind is unknown or the name is invalid. */
export function splitLineKey(row: string): { kind: LineKind; name: string } | undefined {
  const at = row.indexOf('/')
  const kind = LINE_KINDS.find((each) => each === row.slice(0, at))
  const name = row.slice(at + 1)
  return kind && NAME_PATTERN.test(name) ? { kind, name } : undefined
}

/** Checks a whole table and lists every invalid cell. */
export function checkTable(raw: RawTable): Result<Table, CellError[]> {
  const table: Table = { pools: new Map(), services: new Map(), waves: new Map() }
  const errors: CellError[] = []
  for (const [row, cells] of Object.entries(raw)) checkLine(table, errors, row, cells)
  errors.push(...checkReferences(table))
  return errors.length > 0 ? err(errors) : ok(table)
}

function checkLine(
  table: Table,
  errors: CellError[],
  row: string,
  cells: Record<string, string>,
): void {
  const parts = splitLineKey(row)
  if (!parts) {
    const rule = `pool, service or wave, a slash, and a name of a-z, 0-9 and dashes`
    errors.push({ row, column: 'name', value: row, rule })
    return
  }
  if (parts.kind === 'pool' && parts.name === RESERVE_POOL) {
    const rule = `another name: '${RESERVE_POOL}' is the pool of unassigned VMs`
    errors.push({ row, column: 'name', value: parts.name, rule })
    return
  }
  const checked = SCHEMAS[parts.kind].safeParse(cells)
  if (!checked.success) {
    errors.push(...checked.error.issues.flatMap((issue) => describe(row, cells, issue)))
    return
  }
  const lines = { pool: table.pools, service: table.services, wave: table.waves }
  const linesOfKind = lines[parts.kind] as Map<string, unknown>
  linesOfKind.set(parts.name, checked.data)
}

function describe(
  row: string,
  cells: Record<string, string>,
  issue: z.core.$ZodIssue,
): CellError[] {
  if (issue.code === 'unrecognized_keys') {
    const kind = splitLineKey(row)?.kind ?? 'pool'
    const rule = `empty: a ${kind} has only ${columnsOf(kind).join(', ')}`
    return issue.keys.map((column) => ({ row, column, value: cells[column] ?? '', rule }))
  }
  const column = String(issue.path[0] ?? '')
  const missing = cells[column] === undefined
  const rule = missing ? 'given; it has no default' : issue.message
  return [{ row, column, value: cells[column] ?? '', rule }]
}

function checkReferences(table: Table): CellError[] {
  const errors: CellError[] = []
  const rule = 'a pool of this table'
  for (const [name, { pool }] of table.services) {
    if (table.pools.has(pool)) continue
    errors.push({ row: `service/${name}`, column: 'pool', value: pool, rule })
  }
  for (const [name, { pool }] of table.waves) {
    if (table.pools.has(pool)) continue
    errors.push({ row: `wave/${name}`, column: 'pool', value: pool, rule })
  }
  return errors
}
