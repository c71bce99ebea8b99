/** Parses the head of a caller's request. */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { nanoid } from 'nanoid'
import { monotonicMs } from '../shared/index.js'
import {
  DEADLINE_HEADER,
  MAX_DEADLINE_MS,
  PRIORITY_HEADER,
  REPEATABLE_HEADER,
  REQUEST_ID_HEADER,
  TEAM_HEADER,
} from './constants.js'
import { PRIORITIES } from './fairQueue.js'
import type { Priority } from './fairQueue.js'

/** A request as described by its head. */
export interface Call {
  id: string
  service: string
  method: string
  /** Path and query sent to the target: the caller's without the service name. */
  path: string
  /** Whether the caller chose the id, so that it can send the request again with it. */
  idGiven: boolean
  /** Whether the request may run twice. */
  repeatable: boolean
  /** Undefined if the caller gives none; the service's priority applies then. */
  priority: Priority | undefined
  /** Undefined if the caller gives none; the service's team applies then. */
  team: string | undefined
  /** Monotonic time in ms at which the caller stops waiting. */
  deadline: number
  arrivedAt: number
}

const REPEATABLE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
const TEAM_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const MAX_ID_LENGTH = 128
const ID_PATTERN = /^[\x21-\x7e]+$/

/** Parses the head; the error is a text for the caller. */
export function readCall(
  req: IncomingMessage,
  defaultDeadlineMs: number,
): Result<Call, string> {
  const url = req.url ?? '/'
  const match = /^\/([a-z0-9][a-z0-9-]{0,62})(?=$|[/?])(.*)$/s.exec(url)
  if (!match) return err('the path must begin with the name of a service')
  const id = readId(req)
  if (id.isErr()) return err(id.error)
  const repeatable = readRepeatable(req)
  if (repeatable.isErr()) return err(repeatable.error)
  const priority = readPriority(req)
  if (priority.isErr()) return err(priority.error)
  const team = readTeam(req)
  if (team.isErr()) return err(team.error)
  const deadlineMs = readDeadline(req, defaultDeadlineMs)
  if (deadlineMs.isErr()) return err(deadlineMs.error)

  const rest = match[2] ?? ''
  const arrivedAt = monotonicMs()
  return ok({
    id: id.value,
    idGiven: req.headers[REQUEST_ID_HEADER] !== undefined,
    service: match[1]!,
    method: req.method ?? 'GET',
    path: rest.startsWith('/') ? rest : `/${rest}`,
    repeatable: repeatable.value,
    priority: priority.value,
    team: team.value,
    deadline: arrivedAt + deadlineMs.value,
    arrivedAt,
  })
}

function readId(req: IncomingMessage): Result<string, string> {
  const given = req.headers[REQUEST_ID_HEADER]
  if (given === undefined) return ok(nanoid())
  const valid =
    typeof given === 'string' && given.length <= MAX_ID_LENGTH && ID_PATTERN.test(given)
  if (valid) return ok(given)
  return err(`${REQUEST_ID_HEADER}: 1 to ${MAX_ID_LENGTH} visible ASCII characters`)
}

function readRepeatable(req: IncomingMessage): Result<boolean, string> {
  const given = req.headers[REPEATABLE_HEADER]
  if (given === undefined) return ok(REPEATABLE_METHODS.has(req.method ?? ''))
  if (given === 'yes' || given === 'no') return ok(given === 'yes')
  return err(`${REPEATABLE_HEADER}: yes or no`)
}

function readPriority(req: IncomingMessage): Result<Priority | undefined, string> {
  const given = req.headers[PRIORITY_HEADER]
  if (given === undefined) return ok(undefined)
  const found = PRIORITIES.find((each) => each === given)
  return found ? ok(found) : err(`${PRIORITY_HEADER}: one of ${PRIORITIES.join(', ')}`)
}

function readTeam(req: IncomingMessage): Result<string | undefined, string> {
  const given = req.headers[TEAM_HEADER]
  if (given === undefined) return ok(undefined)
  const valid = typeof given === 'string' && TEAM_PATTERN.test(given)
  return valid
    ? ok(given)
    : err(`${TEAM_HEADER}: a name of a-z, 0-9 and dashes, at most 63`)
}

function readDeadline(req: IncomingMessage, defaultMs: number): Result<number, string> {
  const given = req.headers[DEADLINE_HEADER]
  if (given === undefined) return ok(defaultMs)
  const ms = Number(given)
  const valid = /^\d{1,9}$/.test(String(given)) && ms >= 1 && ms <= MAX_DEADLINE_MS
  return valid ? ok(ms) : err(`${DEADLINE_HEADER}: whole ms from 1 to ${MAX_DEADLINE_MS}`)
}
