/**
 * An open-loop load: requests arrive by a Poisson process whether or not earlier ones
 * have ended. Each answer is checked to be whole and the caller's own.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Agent } from 'undici'
import {
  OUTCOME_HEADER,
  REPEATABLE_HEADER,
  REQUEST_ID_HEADER,
} from '../src/entry/index.js'
import { describeError } from '../src/shared/index.js'
import { createRandom, exponential } from './random.js'

/** Options of {@link runLoad}. */
export interface LoadOptions {
  urls: string[]
  services: string[]
  /** Requests a second. */
  rate: number
  seconds: number
  seed: number
  /** Part of the requests that must not run twice. */
  unrepeatableShare: number
  bodyBytes: number
  /** Request ids begin with it; choose another one for each run. */
  idPrefix: string
  signal?: AbortSignal
}

/** What one request ended with. */
export interface CallRecord {
  id: string
  repeatable: boolean
  outcome: 'answered' | 'not-run' | 'unknown'
  /** Steady time at which it was sent, in ms, and how long it took. */
  sentAt: number
  tookMs: number
  /** What the caller saw: the answer's status and text, or why there was none. */
  seen: string
}

/** What a load run saw. */
export interface LoadReport {
  sent: number
  answered: number
  notRun: number
  unknown: number
  /** Of the unknown: refused without sending, since nobody could tell a repeat. */
  unsure: number
  /** Answers that were short or belonged to another request. */
  foreign: number
  records: CallRecord[]
  /** Time of answered requests, in µs. */
  latency: Histogram
}

/** Characters of an answer that a record keeps. */
const MAX_SEEN = 200
const MAX_LATENCY_US = 120_000_000
const CALLER_TIMEOUT_MS = 60_000

/** Runs the load and waits for the last answer. */
export async function runLoad(opts: LoadOptions): Promise<LoadReport> {
  const random = createRandom(opts.seed)
  const agent = new Agent({ connections: 256, pipelining: 1 })
  const latency = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  })
  const report: LoadReport = {
    sent: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    unsure: 0,
    foreign: 0,
    records: [],
    latency,
  }
  const pending = new Set<Promise<void>>()
  const body = 'x'.repeat(opts.bodyBytes)
  const startedAt = performance.now()
  let dueMs = 0

  while (dueMs < opts.seconds * 1000 && !opts.signal?.aborted) {
    dueMs += exponential(random, 1000 / opts.rate)
    const wait = startedAt + dueMs - performance.now()
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    const one: Promise<void> = sendOne(opts, agent, random, body, report).finally(() =>
      pending.delete(one),
    )
    pending.add(one)
  }
  await Promise.all(pending)
  await agent.close()
  return report
}

async function sendOne(
  opts: LoadOptions,
  agent: Agent,
  random: () => number,
  body: string,
  report: LoadReport,
): Promise<void> {
  const pickOf = <T>(list: T[]): T => list[Math.floor(random() * list.length)]!
  const origin = pickOf(opts.urls)
  const service = pickOf(opts.services)
  const repeatable = random() >= opts.unrepeatableShare
  const id = `${opts.idPrefix}${report.sent++}`
  const startedAt = performance.now()
  const times = { sentAt: startedAt, tookMs: 0 }
  const record: CallRecord = { id, repeatable, outcome: 'unknown', ...times, seen: '' }
  try {
    const res = await agent.request({
      origin,
      path: `/${service}/work`,
      method: 'POST',
      headers: {
        [REQUEST_ID_HEADER]: id,
        [REPEATABLE_HEADER]: repeatable ? 'yes' : 'no',
      },
      body,
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    })
    const text = await res.body.text()
    record.outcome = readOutcome(res.headers[OUTCOME_HEADER])
    record.seen = `${res.statusCode} ${text.slice(0, MAX_SEEN)}`
    if (record.outcome === 'unknown' && res.statusCode === 503) report.unsure++
    if (record.outcome === 'answered') {
      report.latency.recordValue(Math.round((performance.now() - startedAt) * 1000))
      if (!isOwnAnswer(text, id, opts.bodyBytes)) report.foreign++
    }
  } catch (cause) {
    record.outcome = 'unknown'
    record.seen = describeError(cause)
  }
  record.tookMs = performance.now() - startedAt
  report.records.push(record)
  if (record.outcome === 'answered') report.answered++
  else if (record.outcome === 'not-run') report.notRun++
  else report.unknown++
}

function readOutcome(header: string | string[] | undefined): CallRecord['outcome'] {
  return header === 'answered' || header === 'not-run' ? header : 'unknown'
}

function isOwnAnswer(text: string, id: string, bytes: number): boolean {
  try {
    const answer = JSON.parse(text) as { id?: string; received?: number }
    return answer.id === id && answer.received === bytes
  } catch {
    return false
  }
}

/** What callers were told, held against what targets ran. */
export interface LedgerCheck {
  /** Unrepeatable requests that ran more than once. */
  doubled: number
  /** Requests answered without having run. */
  lost: number
  /** Requests told "not run" that ran. */
  falseNotRun: number
}

/** Compares the records with how often each request ran. */
export function checkLedger(
  records: readonly CallRecord[],
  runsOf: (id: string) => number,
): LedgerCheck {
  const check: LedgerCheck = { doubled: 0, lost: 0, falseNotRun: 0 }
  for (const { id, repeatable, outcome } of records) {
    const runs = runsOf(id)
    if (!repeatable && runs > 1) check.doubled++
    if (outcome === 'answered' && runs === 0) check.lost++
    if (outcome === 'not-run' && runs > 0) check.falseNotRun++
  }
  return check
}
