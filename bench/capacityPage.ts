/** Renders the tables of docs/CAPACITY.md from the results of the capacity bench. */
import type { Fit, Point } from './fit.js'

/** Members of `bench/results/capacity.json` that the page uses. */
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

/** Site to design for: sizes required by the users, and assumptions for the others. */
const DESIGN = {
  workers: 1300,
  halls: 7,
  entriesPerHall: 6,
  targetsPerVm: 2,
  acceptsPerDay: 620,
}
const DAY_S = 86_400
/** Peers of other halls sync five times less often than those of the same hall. */
const REMOTE_SYNC_SHARE = 0.2
const LIMIT_CPU_PERCENT = 2
const LIMIT_MB = 32
const LIMIT_BYTES_PER_S = 11_000
const LIMIT_READS_PER_S = 2000
const LIMIT_WRITES_PER_S = 100
/** A keeper renews its lease three times per term of 6 s. */
const RENEWALS_PER_S = 0.5

const VMS = DESIGN.workers / DESIGN.halls
const TARGETS = VMS * DESIGN.targetsPerVm
const ENTRIES = DESIGN.halls * DESIGN.entriesPerHall

/** Interpolates linearly between the two measured sizes around `size`. */
function interpolate(points: readonly Point[], size: number): number {
  const upper = points.findIndex((point) => point.size >= size)
  const [a, b] = [points[upper - 1]!, points[upper]!]
  return a.value + ((b.value - a.value) * (size - a.size)) / (b.size - a.size)
}

const valueAt = (fit: Fit, size: number): number =>
  Math.max(0, fit.base + fit.slope * size)
/** Largest whole size at which the fitted value is within the limit. */
const maxSizeWithin = (fit: Fit, limit: number): number =>
  Math.floor((limit - fit.base) / fit.slope)
const formatNumber = (value: number, digits = 1): string => value.toFixed(digits)
const formatMaxSize = (size: number, what: string): string =>
  size > 0 ? `${size} ${what}` : 'the base alone is over it'
const formatIsWithin = (value: number, limit: number): string =>
  value <= limit ? 'yes' : '**no**'

/** Renders the Markdown that stands between the page's markers. */
export function renderCapacity(results: CapacityResults): string {
  const { fits } = results
  const fit = (name: string): Fit => fits[name]!
  const entryCpuFit = fit('entry, % of a core per target')
  const roundFit = fit('keeper round, ms per VM')
  const peerFit = fit('peers, bytes/s per peer of the hall')
  const roundMs = interpolate(results.planning.times, VMS)
  const keeperCpu = roundMs / 10
  const targetsPerEntry = TARGETS / DESIGN.entriesPerHall
  const entryCpu = valueAt(entryCpuFit, targetsPerEntry)
  const localPeers = DESIGN.entriesPerHall - 1
  const remotePeers = ENTRIES - DESIGN.entriesPerHall
  const peerBytes = peerFit.slope * (localPeers + remotePeers * REMOTE_SYNC_SHARE)
  const withKeeper = results.hosted.at(-1)!
  const withoutKeeper = results.entry.at(-1)!
  const acceptBytes = (results.tableBytes * DESIGN.acceptsPerDay) / DAY_S
  const entryBytes = peerBytes + withoutKeeper.platformBytes + acceptBytes
  const keeperMb = withKeeper.residentMb - withoutKeeper.residentMb
  const reads =
    ENTRIES * withoutKeeper.platformCalls + DESIGN.halls * withKeeper.platformCalls
  const writes = DESIGN.halls * RENEWALS_PER_S

  const limits = [
    [
      'control of an entry, % of a core',
      LIMIT_CPU_PERCENT,
      formatNumber(entryCpu),
      formatIsWithin(entryCpu, LIMIT_CPU_PERCENT),
      formatMaxSize(
        maxSizeWithin(entryCpuFit, LIMIT_CPU_PERCENT) * DESIGN.entriesPerHall,
        'targets a hall',
      ),
    ],
    [
      'rounds of the keeper with the lease, % of a core',
      LIMIT_CPU_PERCENT,
      formatNumber(keeperCpu, 2),
      formatIsWithin(keeperCpu, LIMIT_CPU_PERCENT),
      `${maxSizeWithin(roundFit, LIMIT_CPU_PERCENT * 10)} VMs a hall`,
    ],
    [
      'pause of the event loop by a round, ms',
      20,
      formatNumber(roundMs),
      formatIsWithin(roundMs, 20),
      `${maxSizeWithin(roundFit, 20)} VMs a hall`,
    ],
    [
      `memory of a hosted keeper at ${withKeeper.targets} targets, MB`,
      LIMIT_MB,
      formatNumber(keeperMb),
      formatIsWithin(keeperMb, LIMIT_MB),
      'see below',
    ],
    [
      'control traffic of an entry, bytes/s',
      LIMIT_BYTES_PER_S,
      formatNumber(entryBytes, 0),
      formatIsWithin(entryBytes, LIMIT_BYTES_PER_S),
      `${Math.floor((LIMIT_BYTES_PER_S - withoutKeeper.platformBytes - acceptBytes) / peerFit.slope)} peers that sync each second`,
    ],
    [
      'reads of the platform, all halls, per s',
      LIMIT_READS_PER_S,
      formatNumber(reads, 0),
      formatIsWithin(reads, LIMIT_READS_PER_S),
      `${Math.floor((LIMIT_READS_PER_S / reads) * ENTRIES)} entries`,
    ],
    [
      'writes of leases, all halls, per s',
      LIMIT_WRITES_PER_S,
      formatNumber(writes),
      formatIsWithin(writes, LIMIT_WRITES_PER_S),
      `${LIMIT_WRITES_PER_S / RENEWALS_PER_S} halls`,
    ],
  ]
  const lines = [
    `Worked out from \`bench/results/capacity.json\`, commit ${results.commit}, for ${DESIGN.workers} workers, ${DESIGN.halls} halls`,
    `(${formatNumber(VMS, 0)} VMs and ${formatNumber(TARGETS, 0)} targets each, at ${DESIGN.targetsPerVm} targets a VM) and ${DESIGN.entriesPerHall} entries a hall,`,
    `each of which checks its part of the targets (${formatNumber(targetsPerEntry, 0)}).`,
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
        `| ${name} | ${slope} | ${base} | ${r2} | ${formatNumber(worst * 100)} % |`,
    ),
  ]
  return lines.join('\n')
}

/** Markers in the page; the text between them is generated. */
export const MARKERS = { begin: '<!-- tables begin -->', end: '<!-- tables end -->' }
