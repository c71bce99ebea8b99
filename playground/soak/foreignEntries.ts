/** Entries in the list of targets by another writer: none of them names a target to use. */
import type { Fault } from './plan.js'

/** Size of the longest entry, in bytes. */
const HUGE = 1_000_000

const SHAPES: ((good: Record<string, unknown>) => unknown)[] = [
  () => 'not JSON{',
  () => '',
  () => 'null',
  () => '[]',
  () => '{"state":"ready"}',
  (good) => ({ ...good, state: 'warming' }),
  (good) => ({ ...good, state: undefined }),
  (good) => ({ ...good, state: 3 }),
  (good) => ({ ...good, service: undefined }),
  (good) => ({ ...good, service: 'nobody' }),
  (good) => ({ ...good, service: ['one'] }),
  (good) => ({ ...good, address: undefined }),
  (good) => ({ ...good, address: '127.0.0.1:0' }),
  (good) => ({ ...good, address: '127.0.0.1:70000' }),
  (good) => ({ ...good, address: { host: 'a' } }),
  (good) => ({ ...good, capacity: 'much' }),
  (good) => ({ ...good, capacity: { cpu: -8000, mem_mb: -1, gpu: 0 } }),
  (good) => ({ ...good, labels: 5 }),
  (good) => ({ ...good, state: 'x'.repeat(HUGE) }),
]

/** The text of such an entry; where it names an address, it is `address`. */
export function foreignEntry({ which }: Fault, service: string, address: string): string {
  const good = {
    service,
    address,
    zone: 'h1',
    state: 'ready',
    labels: ['a'],
    capacity: { cpu: 8000, mem_mb: 32_000, gpu: 0 },
  }
  const entry = SHAPES[which % SHAPES.length]!(good)
  return typeof entry === 'string' ? entry : JSON.stringify(entry)
}
