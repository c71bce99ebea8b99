/**
 * Open-loop load generator: requests are sent by a Poisson process, independently of the answers
 * to earlier ones. Checks that each answer is complete and belongs to its request.
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
  /** Fraction of requests that must not run twice, from 0 to 1. */
  unrepeatableShare: number
  bodyBytes: number
  /** Prefix of the request ids; must be different in each run. */
  idPrefix: string
  signal?: AbortSignal
}

/** Result of a request. */
export interface CallRecord {
  id: string
  repeatable: boolean
  outcome: 'answered' | 'not-run' | 'unknown'
  /** Monotonic time at which it was sent, and its duration, in ms. */
  sentAt: number
  tookMs: number
  /** Status and text of the answer, or the error if there was none. */
  seen: string
}

/** Results of a load run. */
export interface LoadReport {
  sent: number
  answered: number
  notRun: number
  unknown: number
  /** Of `unknown`: refused before sending (503), since a repeat could not be ruled out. */
  unsure: number
  /** Answers that were incomplete or belonged to another request. */
  foreign: number
  records: CallRecord[]
  /** Latency of answered requests, in µs. */
  latency: Histogram
}

/** Longest part of an answer that a record contains, in characters. */
const MAX_SEEN = 200
const MAX_LATENCY_US = 120_000_000
const CALLER_TIMEOUT_MS = 60_000

/** Sends requests for the given time and waits for the last answer. */
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

/** Differences between the answers to callers and the runs on targets. */
export interface LedgerCheck {
  /** Number of unrepeatable requests that ran more than once. */
  doubled: number
  /** Number of requests that were answered but did not run. */
  lost: number
  /** Number of requests that were answered with `not-run` but ran. */
  falseNotRun: number
}

/** Compares the records with the number of runs of each request. */
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
