/** The tables of docs/CAPACITY.md, worked out from the kept results of the capacity bench. */
import type { Fit, Point } from './fit.js'

/** The part of the results that the page uses. */
export interface CapacityResults {
  commit: string
  fits: Record<string, Fit>
  entry: {
    targets: number
    residentMb: number
    platformCalls: number
    platformBytes: number
  }[]
  hosted: {
    targets: number
    residentMb: number
    platformCalls: number
    platformBytes: number
  }[]
  tableBytes: number
  planning: { times: Point[] }
}

/** The size to design for, from the users' letter, and what we take for the rest. */
const DESIGN = {
  workers: 1300,
  halls: 7,
  entriesPerHall: 6,
  targetsPerVm: 2,
  acceptsPerDay: 620,
}
const DAY_S = 86_400
/** Syncs with another hall come five times less often. */
const REMOTE_FACTOR = 0.2
const LIMIT_CPU_PERCENT = 2
const LIMIT_MB = 32
const LIMIT_BYTES_S = 11_000
const LIMIT_READS_S = 2000
const LIMIT_WRITES_S = 100
/** A lease is renewed three times per term of six seconds. */
const RENEWALS_PER_S = 0.5

const VMS = DESIGN.workers / DESIGN.halls
const TARGETS = VMS * DESIGN.targetsPerVm
const ENTRIES = DESIGN.halls * DESIGN.entriesPerHall

/** The value at a size between two measured ones. */
function between(points: readonly Point[], size: number): number {
  const upper = points.findIndex((point) => point.size >= size)
  const [a, b] = [points[upper - 1]!, points[upper]!]
  return a.value + ((b.value - a.value) * (size - a.size)) / (b.size - a.size)
}

const at = (fit: Fit, size: number): number => Math.max(0, fit.base + fit.slope * size)
/** The size at which a line reaches a limit. */
const reach = (fit: Fit, limit: number): number =>
  Math.floor((limit - fit.base) / fit.slope)
const text = (value: number, digits = 1): string => value.toFixed(digits)
const upTo = (size: number, what: string): string =>
  size > 0 ? `${size} ${what}` : 'the base alone is over it'
const verdict = (value: number, limit: number): string =>
  value <= limit ? 'yes' : '**no**'

/** The block of tables between the page's markers. */
export function renderCapacity(results: CapacityResults): string {
  const { fits } = results
  const fit = (name: string): Fit => fits[name]!
  const health = fit('entry, % of a core per target')
  const round = fit('keeper round, ms per VM')
  const peer = fit('peers, bytes/s per peer of the hall')
  const roundMs = between(results.planning.times, VMS)
  const keeperCpu = roundMs / 10
  const checked = TARGETS / DESIGN.entriesPerHall
  const entryCpu = at(health, checked)
  const localPeers = DESIGN.entriesPerHall - 1
  const remotePeers = ENTRIES - DESIGN.entriesPerHall
  const peerBytes = peer.slope * (localPeers + remotePeers * REMOTE_FACTOR)
  const last = results.hosted.at(-1)!
  const alone = results.entry.at(-1)!
  const acceptBytes = (results.tableBytes * DESIGN.acceptsPerDay) / DAY_S
  const bytes = peerBytes + alone.platformBytes + acceptBytes
  const keeperMb = last.residentMb - alone.residentMb
  const reads = ENTRIES * alone.platformCalls + DESIGN.halls * last.platformCalls
  const writes = DESIGN.halls * RENEWALS_PER_S

  const limits = [
    [
      'control of an entry, % of a core',
      LIMIT_CPU_PERCENT,
      text(entryCpu),
      verdict(entryCpu, LIMIT_CPU_PERCENT),
      upTo(reach(health, LIMIT_CPU_PERCENT) * DESIGN.entriesPerHall, 'targets a hall'),
    ],
    [
      'rounds of the keeper with the lease, % of a core',
      LIMIT_CPU_PERCENT,
      text(keeperCpu, 2),
      verdict(keeperCpu, LIMIT_CPU_PERCENT),
      `${reach(round, LIMIT_CPU_PERCENT * 10)} VMs a hall`,
    ],
    [
      'pause of the event loop by a round, ms',
      20,
      text(roundMs),
      verdict(roundMs, 20),
      `${reach(round, 20)} VMs a hall`,
    ],
    [
      `memory of a hosted keeper at ${last.targets} targets, MB`,
      LIMIT_MB,
      text(keeperMb),
      verdict(keeperMb, LIMIT_MB),
      'see below',
    ],
    [
      'control traffic of an entry, bytes/s',
      LIMIT_BYTES_S,
      text(bytes, 0),
      verdict(bytes, LIMIT_BYTES_S),
      `${Math.floor((LIMIT_BYTES_S - alone.platformBytes - acceptBytes) / peer.slope)} peers that sync each second`,
    ],
    [
      'reads of the platform, all halls, per s',
      LIMIT_READS_S,
      text(reads, 0),
      verdict(reads, LIMIT_READS_S),
      `${Math.floor((LIMIT_READS_S / reads) * ENTRIES)} entries`,
    ],
    [
      'writes of leases, all halls, per s',
      LIMIT_WRITES_S,
      text(writes),
      verdict(writes, LIMIT_WRITES_S),
      `${LIMIT_WRITES_S / RENEWALS_PER_S} halls`,
    ],
  ]
  const lines = [
    `Worked out from \`bench/results/capacity.json\`, commit ${results.commit}, for ${DESIGN.workers} workers, ${DESIGN.halls} halls`,
    `(${text(VMS, 0)} VMs and ${text(TARGETS, 0)} targets each, at ${DESIGN.targetsPerVm} targets a VM) and ${DESIGN.entriesPerHall} entries a hall,`,
    `each of which checks its part of the targets (${text(checked, 0)}).`,
    '',
    '| what | limit | at that size | within it | holds up to |',
    '| --- | --- | --- | --- | --- |',
    ...limits.map((cells) => `| ${cells.join(' | ')} |`),
    '',
    'The slopes (value = base + slope x size):',
    '',
    '| slope | per unit | base | R² | worst distance |',
    '| --- | --- | --- | --- | --- |',
    ...Object.entries(fits).map(
      ([name, { slope, base, r2, worst }]) =>
        `| ${name} | ${slope} | ${base} | ${r2} | ${text(worst * 100)} % |`,
    ),
  ]
  return lines.join('\n')
}

/** Markers around the block in the page. */
export const BLOCK = { begin: '<!-- tables begin -->', end: '<!-- tables end -->' }
