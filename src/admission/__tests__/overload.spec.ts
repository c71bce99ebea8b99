/**
 * Plays the peak of a queue on the decision and compares what callers get with admitting all jobs.
 * Guards against an admission that refuses jobs which could have been served, or lets the jobs of
 * one organisation push out those of the others.
 *
 * The model: targets are cores that run one task each; the owner starts tasks in its order of
 * urgency, and never those of useless jobs before others; 20 fronts get the owner's load 100 to
 * 300 ms late. A caller retries up to four times, by `Retry-After`, while its job can be of use.
 */
import { createRandom } from '../../../playground/random.js'
import { describe, it } from '../../../test/describe.js'
import { QUEUE, makeJob } from '../../../test/jobRig.js'
import { decideAdmission } from '../index.js'
import type { ServiceLoad } from '../index.js'

const TICK_MS = 10
const RUN_MS = 500
const TASKS = 8
const PATH_MS = RUN_MS * 1.4
const OBJECTIVE_MS = QUEUE.stretch * PATH_MS + QUEUE.latencyMs
const USEFUL_MS = 3 * OBJECTIVE_MS
const MAX_RETRIES = 4
const SPEC = makeJob({ cpu: 1000 }, [{ count: TASKS }])
/** Time during which jobs arrive, and duration of the whole run, in ms. */
const PEAK_MS = 6000
const RUN_LENGTH_MS = 15_000

interface SimJob {
  organisation: string
  firstAt: number
  tries: number
  nextTryAt: number
  acceptedAt: number
  waiting: number
  endsAt: number[]
  doneAt: number
  spread: number
}

interface Scenario {
  seed: number
  /** Jobs that arrive per second in the peak. */
  perSecond: number
  coresAt(now: number): number
  /** Cores that the service can get, by its owner; at least those that it has. */
  attainableAt(now: number): number
  /** Whether an owner serves the fronts. */
  hasOwner(now: number): boolean
  organisationOf(random: () => number): string
}

const BASE: Scenario = {
  seed: 1,
  perSecond: 60,
  coresAt: () => 100,
  attainableAt: () => 100,
  hasOwner: () => true,
  organisationOf: () => 'a',
}

const isOpen = (job: SimJob): boolean => job.acceptedAt >= 0 && job.doneAt < 0
const standingOf = (job: SimJob, now: number): number => {
  const ageMs = now - job.acceptedAt + (job.waiting > 0 ? PATH_MS : 0)
  if (ageMs <= OBJECTIVE_MS) return 0
  return ageMs <= USEFUL_MS ? 1 : 4
}
const rankOf = (job: SimJob, now: number): number => {
  const standing = standingOf(job, now)
  return standing + (job.organisation === 'hot' && standing < 4 ? 2 : 0)
}

/** The load that the owner computes at `now`. */
function loadAt(jobs: SimJob[], scenario: Scenario, now: number): ServiceLoad {
  const load: ServiceLoad = {
    term: 1,
    sequence: now,
    idleCpu: 0,
    attainableCpu: scenario.attainableAt(now) * 1000,
    runningWork: 0,
    backlog: [],
    organisationsBeyond: [{ priority: QUEUE.priority, organisations: ['hot'] }],
    runMs: { [QUEUE.name]: RUN_MS },
  }
  let running = 0
  let ready = 0
  for (const job of jobs.filter(isOpen)) {
    const rank = rankOf(job, now)
    running += job.endsAt.length
    for (const at of job.endsAt) load.runningWork += Math.max(0, at - now)
    if (rank === 4 || job.waiting === 0) continue
    ready += job.waiting
    const work = job.waiting * RUN_MS
    const isLate = rank % 2 === 1
    load.backlog.push({
      priority: QUEUE.priority,
      beyondShare: rank >= 2,
      timelyWork: isLate ? 0 : work,
      lateWork: isLate ? work : 0,
      timelyStarts: isLate ? 0 : job.waiting,
      lateStarts: isLate ? job.waiting : 0,
    })
  }
  load.idleCpu = Math.max(0, scenario.coresAt(now) - running - ready) * 1000
  return load
}

/** Ends and starts tasks. */
function runTasks(
  jobs: SimJob[],
  cores: number,
  now: number,
  random: () => number,
): void {
  let running = 0
  for (const job of jobs) {
    job.endsAt = job.endsAt.filter((at) => at > now)
    if (isOpen(job) && job.waiting + job.endsAt.length === 0) job.doneAt = now
    running += job.endsAt.length
  }
  const ready = jobs.filter((job) => isOpen(job) && job.waiting > 0)
  ready.sort((a, b) => rankOf(a, now) - rankOf(b, now) || a.acceptedAt - b.acceptedAt)
  for (const job of ready) {
    while (job.waiting > 0 && running < cores) {
      job.waiting--
      running++
      job.endsAt.push(now + RUN_MS * (0.5 + random()))
    }
  }
}

function play(scenario: Scenario, isAdmitting: boolean) {
  const arrivals = createRandom(scenario.seed)
  const random = createRandom(scenario.seed + 1000)
  const jobs: SimJob[] = []
  const loads = new Map<number, ServiceLoad>()

  /** One try of a caller at a random front. */
  function tryJob(job: SimJob, now: number): void {
    const ageMs = 100 + Math.floor(random() * 3) * 100
    const takenAt = Math.floor((now - ageMs) / 100) * 100
    const load = scenario.hasOwner(now) ? loads.get(takenAt) : undefined
    const decision = decideAdmission({
      job: { ...SPEC, organisation: job.organisation },
      queue: QUEUE,
      load: isAdmitting ? load : undefined,
      loadAgeMs: now - takenAt,
      jobAgeMs: now - job.firstAt,
      spread: job.spread,
    })
    job.nextTryAt = Infinity
    if (decision.kind === 'admit') return void (job.acceptedAt = now)
    const again = now + decision.retryAfterMs
    const isOfUse = again - job.firstAt + PATH_MS <= USEFUL_MS
    if (job.tries++ < MAX_RETRIES && isOfUse) job.nextTryAt = again
  }

  for (let now = 0; now < RUN_LENGTH_MS; now += TICK_MS) {
    if (now < PEAK_MS && arrivals() < (scenario.perSecond * TICK_MS) / 1000)
      jobs.push({
        organisation: scenario.organisationOf(arrivals),
        firstAt: now,
        tries: 0,
        nextTryAt: now,
        acceptedAt: -1,
        waiting: TASKS,
        endsAt: [],
        doneAt: -1,
        spread: arrivals(),
      })
    if (now % 100 === 0 && scenario.hasOwner(now))
      loads.set(now, loadAt(jobs, scenario, now))
    for (const job of jobs) if (job.nextTryAt <= now) tryJob(job, now)
    runTasks(jobs, scenario.coresAt(now), now, random)
  }
  return jobs
}

const isUseful = ({ doneAt, firstAt }: SimJob): boolean =>
  doneAt >= 0 && doneAt - firstAt <= USEFUL_MS

function valueOf(job: SimJob): number {
  if (!isUseful(job)) return 0
  const lateMs = Math.max(0, job.doneAt - job.firstAt - OBJECTIVE_MS)
  return 1 - lateMs / (USEFUL_MS - OBJECTIVE_MS)
}

/** What callers get, as numbers of jobs. */
function resultOf(jobs: SimJob[]) {
  return {
    jobs: jobs.length,
    useful: jobs.filter(isUseful).length,
    inTime: jobs.filter(
      (job) => isUseful(job) && job.doneAt - job.firstAt <= OBJECTIVE_MS,
    ).length,
    /** 1 for each job within its objective, less for later ones, 0 for those of no use. */
    value: Math.round(jobs.reduce((sum, job) => sum + valueOf(job), 0)),
    /** Accepted jobs that end too late to be of use. */
    wasted: jobs.filter((job) => job.acceptedAt >= 0 && !isUseful(job)).length,
    refused: jobs.filter((job) => job.acceptedAt < 0).length,
  }
}

const SCENARIOS: Record<string, Partial<Scenario>> = {
  'a burst of four times the room': {},
  'a third of the room gone in the middle': {
    coresAt: (now) => (now < 2000 ? 100 : 67),
    attainableAt: (now) => (now < 2000 ? 100 : 67),
  },
  'a takeover in the middle': { hasOwner: (now) => now < 2000 || now >= 3500 },
  'a hot organisation': { organisationOf: (random) => (random() < 0.6 ? 'hot' : 'a') },
}
const SEEDS = [1, 2, 3]

/** Results of several runs, added up. */
function playAll(more: Partial<Scenario>, isAdmitting: boolean, organisation?: string) {
  const jobs = SEEDS.flatMap((seed) => play({ ...BASE, ...more, seed }, isAdmitting))
  return resultOf(
    jobs.filter((job) => organisation === undefined || job.organisation === organisation),
  )
}

describe('peak of a queue', () => {
  for (const [name, more] of Object.entries(SCENARIOS)) {
    it(`with ${name}: callers get more, and fewer jobs are accepted for nothing`, (t) => {
      const all = playAll(more, false)
      const admitted = playAll(more, true)
      const text = JSON.stringify({ all, admitted })
      t.log(text)
      t.true(admitted.value >= all.value, text)
      t.true(admitted.inTime >= all.inTime, text)
      t.true(admitted.useful >= all.useful, text)
      t.true(admitted.wasted <= all.wasted * 0.85, text)
    })
  }

  // At the beginning of a peak most of the room is still on its way; these jobs can be served.
  it('refuses nothing that can be served by room on its way', (t) => {
    const more = {
      coresAt: (now: number) => (now < 2500 ? 20 : 400),
      attainableAt: () => 400,
    }
    const admitted = playAll(more, true)
    t.is(admitted.refused, 0)
    t.is(admitted.useful, playAll(more, false).useful)
  })

  // Callers within their shares must not pay for the retries of another organisation.
  it('refuses a hot organisation first, and serves the others as well as before', (t) => {
    const more = SCENARIOS['a hot organisation']!
    const others = playAll(more, true, 'a')
    const hot = playAll(more, true, 'hot')
    t.log(JSON.stringify({ before: playAll(more, false, 'a'), others, hot }))
    t.true(others.value >= playAll(more, false, 'a').value * 0.98)
    t.true(hot.refused / hot.jobs > 10 * (others.refused / others.jobs))
  })
})
