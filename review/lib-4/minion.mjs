/**
 * Stand-in of a minion that takes orders by call. The `spec` of its tasks is JSON: `ms` is the time
 * that a task takes.
 */
import { listen, now, readBody, reply, sleep, waitFor } from './http.mjs'

/** Longest time for which a lease holds, in ms. */
const MAX_HOLD_MS = 10_000
const MAX_WAIT_MS = 2000
const MAX_LISTED_ENDS = 500
const HEARTBEAT_MS = 1500
/** Time that a stop takes, in ms. */
const STOP_MS = 50
const LEASE_CHECK_MS = 50

let lives = 0

/**
 * Starts one life of a minion.
 *
 * `behave(path, json)` may return `{ loseAnswer: true }` or `{ delayAnswerMs }`: what becomes of the
 * answer to a call that has been carried out.
 *
 * @param opts.log called with each start and end of a run, and when an end is taken note of
 */
export async function startMinion(opts) {
  const { host, machine, service, zone, labels, capacity, store, log } = opts
  const id = `i-${(++lives).toString(16).padStart(8, '0')}`
  const bornAt = now()
  /** Runs by task. */
  const running = new Map()
  /** Highest run of each task that has ended here. */
  const endedRuns = new Map()
  const waiters = new Set()
  let ended = []
  let lastEnd = 0
  let fence = 0
  let heldUntil = 0
  let isDead = false
  let delayedAnswers = 0
  let sequence = 0

  const clock = () => Math.floor(now() - bornAt) + 1000
  const refuse = (reason) => [409, { clock_ms: clock(), reason }]
  const accept = () => [200, { clock_ms: clock() }]
  const extend = (until) => {
    if (until === undefined) return
    heldUntil = Math.max(heldUntil, Math.min(until, clock() + MAX_HOLD_MS))
  }
  const usedCpu = () => [...running.values()].reduce((sum, { cpu }) => sum + cpu, 0)

  function end(run, how) {
    if (running.get(run.task) !== run) return
    running.delete(run.task)
    clearTimeout(run.timer)
    endedRuns.set(run.task, Math.max(run.run, endedRuns.get(run.task) ?? 0))
    ended.push([++lastEnd, run.task, run.run, how, ''])
    log({ what: 'end', at: now(), task: run.task, run: run.run, how, minion: id })
    for (const wake of [...waiters]) wake()
  }

  function start({ task, run, spec, fencing_token: token = 0, until_ms: until }) {
    if (token < fence) return refuse('fence')
    fence = token
    extend(until)
    const present = running.get(task)
    if (present?.run === run) return accept()
    const newest = Math.max(endedRuns.get(task) ?? 0, present?.run ?? 0)
    if (newest >= run) return refuse('old')
    if (until <= clock()) return refuse('late')
    const { ms, cpu } = JSON.parse(spec)
    if (usedCpu() + cpu > capacity.cpu) return refuse('room')
    const startedAt = now()
    const each = { task, run, cpu, startedAt, ms }
    running.set(task, each)
    each.timer = setTimeout(() => end(each, 'done'), ms)
    log({ what: 'start', at: startedAt, task, run, spec, minion: id, service })
    return accept()
  }

  function stop({ task, run, fencing_token: token = 0 }) {
    if (token < fence) return refuse('fence')
    fence = token
    const present = running.get(task)
    if (present?.run !== run) return refuse('old')
    setTimeout(() => end(present, 'stopped'), STOP_MS)
    return accept()
  }

  const percentOf = ({ startedAt, ms }) =>
    Math.min(99, Math.floor((100 * (now() - startedAt)) / ms))

  async function hold(json, res) {
    const { fencing_token: token = 0, last_seen: seen = 0, wait_ms: waitMs = 0 } = json
    if (token < fence) return refuse('fence')
    fence = token
    extend(json.until_ms)
    for (const [seq, task, run] of ended)
      if (seq <= seen) log({ what: 'noted', at: now(), task, run, minion: id })
    ended = ended.filter(([seq]) => seq > seen)
    if (ended.length === 0 && waitMs > 0)
      await waitFor(waiters, Math.min(waitMs, MAX_WAIT_MS))
    if (res.destroyed) return undefined
    const runs = [...running.values()]
    return [
      200,
      {
        clock_ms: clock(),
        running: runs.map((run) => [run.task, run.run, '', percentOf(run), 0]),
        ended: ended.slice(0, MAX_LISTED_ENDS),
      },
    ]
  }

  const CALLS = { '/run-start': start, '/run-stop': stop, '/pace': accept, '/hold': hold }

  const minion = { id, machine, service, zone, running, behave: undefined }
  const face = await listen(host, async (req, res) => {
    const { json } = await readBody(req)
    if (isDead) return res.destroy()
    const headers = { 'Rillshunt-Instance-Id': id }
    if (req.url === '/health') return reply(res, 200, {}, headers)
    const expected = req.headers['rillshunt-expected-instance'] ?? id
    if (expected !== id) return reply(res, 421, undefined, headers)
    const call = CALLS[req.url]
    if (!call) return reply(res, 404, {}, headers)
    const { loseAnswer, delayAnswerMs } = minion.behave?.(req.url, json) ?? {}
    const answer = await call(json, res)
    if (!answer || loseAnswer) return undefined
    if (delayAnswerMs !== undefined) {
      delayedAnswers++
      await sleep(delayAnswerMs)
      delayedAnswers--
    }
    return reply(res, ...answer, headers)
  })

  function beat() {
    store.put('servers', id, {
      service,
      address: face.address,
      zone,
      version: '1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++sequence,
      labels,
      capacity,
    })
  }

  function checkLease() {
    if (clock() <= heldUntil) return
    for (const run of [...running.values()]) end(run, 'lapsed')
  }

  beat()
  const timers = [
    setInterval(beat, HEARTBEAT_MS),
    setInterval(checkLease, LEASE_CHECK_MS),
  ]

  function close() {
    isDead = true
    for (const timer of timers) clearInterval(timer)
    for (const { timer } of running.values()) clearTimeout(timer)
    face.close()
  }

  return Object.assign(minion, {
    end,
    close,
    /** Number of answers that are on their way with a delay. */
    delayedAnswers: () => delayedAnswers,
    /** Number of ends that nobody has taken note of. */
    unnoted: () => ended.length,
    /** Ends this life: what runs on it dies, and its entry goes after `entryGoesAfterMs`. */
    die(entryGoesAfterMs) {
      for (const { task, run } of running.values())
        log({ what: 'end', at: now(), task, run, how: 'died', minion: id })
      close()
      running.clear()
      setTimeout(() => store.drop('servers', id), entryGoesAfterMs)
    },
  })
}
