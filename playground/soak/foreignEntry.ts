/** Entries of another writer in the list of targets. None of them describes a usable target. */
import type { Fault } from './plan.js'

/** Size of the longest entry, in bytes. */
const HUGE = 1_000_000

/** Complete texts, and fields that make an otherwise valid entry unusable. */
const SHAPES: (string | Record<string, unknown>)[] = [
  'not JSON{',
  '',
  'null',
  '[]',
  '{"state":"ready"}',
  { state: 'warming' },
  { state: undefined },
  { state: 3 },
  { state: 'x'.repeat(HUGE) },
  { service: undefined },
  { service: 'nobody' },
  { service: ['one'] },
  { address: undefined },
  { address: '127.0.0.1:0' },
  { address: '127.0.0.1:70000' },
  { address: { host: 'a' } },
  { capacity: 'much' },
  { capacity: { cpu: -8000, mem_mb: -1, gpu: 0 } },
  { labels: 5 },
]

/** The text of an entry that the fault selects. A valid address in it is always `address`. */
export function foreignEntry({ which }: Fault, service: string, address: string): string {
  const shape = SHAPES[which % SHAPES.length]!
  if (typeof shape === 'string') return shape
  const capacity = { cpu: 8000, mem_mb: 32_000, gpu: 0 }
  const good = { service, address, zone: 'h1', state: 'ready', labels: ['a'], capacity }
  return JSON.stringify({ ...good, ...shape })
}
