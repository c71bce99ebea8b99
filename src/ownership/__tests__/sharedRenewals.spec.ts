import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { startOwnerNode } from '../../../test/ownerNodes.js'
import type { RowStore } from '../../ports/index.js'
import { sleep } from '../../shared/index.js'
import { NODES_TABLE } from '../index.js'

const WRITE_MS = 200
const CALLERS = 10

describe('a node that renews its row', () => {
  it('does not renew once for each caller during a slow write', async (t) => {
    const direct = createRowTable().forNode('n1')
    let writes = 0
    const store: RowStore = {
      ...direct,
      async commit(tx) {
        if (tx.puts.some(({ table }) => table === NODES_TABLE)) writes++
        await sleep(WRITE_MS)
        return direct.commit(tx)
      },
    }
    const node = startOwnerNode({ id: 'n1', store, services: [] })
    t.teardown(node.stop)
    while (writes === 0) await sleep(5)
    const before = writes
    await Promise.all(Array.from({ length: CALLERS }, () => node.registry.renewNow()))
    // One scheduled renewal of the node may fall in between.
    t.true(writes >= before + 1 && writes <= before + 2, `${writes - before} writes`)
  })
})
