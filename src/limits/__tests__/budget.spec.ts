import { describe, it } from '../../../test/describe.js'
import { limitsOf } from '../budget.js'
import type { Endpoint } from '../budget.js'

const ENDPOINTS: Endpoint[] = ['callers', 'nodes', 'readiness', 'metrics']
const VMS = [
  { memory_mb: 160, file_descriptors: 4100 },
  { memory_mb: 602, file_descriptors: 8192 },
  { memory_mb: 160, file_descriptors: 1024 },
  { memory_mb: 128, file_descriptors: 256 },
]

describe('the budget of a process', () => {
  it('leaves descriptors for the calls of the process on every VM', (t) => {
    for (const vm of VMS) {
      const connections = ENDPOINTS.map((each) => limitsOf(each, vm).connections)
      const sum = connections.reduce((a, b) => a + b, 0)
      t.true(sum <= vm.file_descriptors / 2, `${sum} of ${vm.file_descriptors}`)
    }
  })

  it('gives each endpoint a part on every VM', (t) => {
    for (const vm of VMS)
      for (const endpoint of ENDPOINTS)
        for (const limit of Object.values(limitsOf(endpoint, vm))) t.true(limit >= 1)
  })

  // Calls between nodes would fail if the owner of a busy service closed their connections.
  it('has room for the calls of all other nodes on the smallest VM', (t) => {
    const { connections, requests, heldBytes } = limitsOf('nodes', VMS[0]!)
    t.true(connections >= 300, `${connections} connections`)
    t.true(requests >= 300, `${requests} requests`)
    t.true(heldBytes >= 8 * 1024 * 1024, `${heldBytes} bytes`)
  })

  it('grows with the VM', (t) => {
    const small = limitsOf('callers', VMS[0]!)
    const large = limitsOf('callers', VMS[1]!)
    for (const key of ['connections', 'requests', 'heldBytes', 'unreadBytes'] as const)
      t.true(large[key] > small[key], key)
  })
})
