import { describe, it } from '../../../test/describe.js'
import { buildAccount } from '../buildAccount.js'
import { plotAccount } from '../plotAccount.js'
import { readLog } from '../readLog.js'

const START = Date.UTC(2026, 0, 1)

const lineAt = (seconds: number, node: string, name: string, fields: object): string =>
  JSON.stringify({
    timestamp: new Date(START + seconds * 1000).toISOString(),
    name,
    node,
    ...fields,
  })

const moved = { kind: 'move', answer: 'accepted', vm: 'm1', from: 'idle', pool: 'a' }
const LOG = [
  lineAt(0, 'n1', 'ownershipTaken', { service: 'a' }),
  lineAt(0.1, 'n1', 'takeoverDone', { service: 'a' }),
  lineAt(10, 'n1', 'jobTaken', { job: 'j1', service: 'a', queue: 'q' }),
  lineAt(10.2, 'n2', 'vmOrdered', moved),
  `  12.1 n1 ${lineAt(12, 'n1', 'taskPlaced', { task: 'j1.0.0.0', waitedMs: 2000 })}`,
  lineAt(16, 'n3', 'ownershipTaken', { service: 'a' }),
  lineAt(16.4, 'n3', 'takeoverDone', { service: 'a' }),
  lineAt(17, 'n3', 'taskPlaced', { task: 'j1.0.0.1', waitedMs: 3000 }),
  lineAt(18, 'n3', 'taskPlaced', { task: 'j1.0.0.2', waitedMs: 1000 }),
  lineAt(18.5, 'n3', 'jobRefused', { job: 'j2', failure: 'unknown', reason: 'x' }),
  'not a log event {',
].join('\n')

describe('buildAccount', () => {
  const account = buildAccount(readLog(LOG))

  it('attributes each wait to what was missing at the time', (t) => {
    t.is(account.waited.get('VMs on the way'), 2)
    t.is(account.waited.get('no owner'), 3)
    t.is(account.waited.get('no room'), 1)
    t.is(account.refused.get('unknown'), 1)
  })

  it('has a row for each second since the first job', (t) => {
    t.is(account.seconds.length, 9)
    t.is(account.seconds[0]?.byService.get('a')?.jobs, 1)
    t.is(account.seconds[2]?.vms.get('a'), 1)
    t.deepEqual(account.seconds[6]?.newOwners, ['a'])
  })

  it('draws a curve for each service and pool', (t) => {
    const svg = plotAccount(account)
    t.is(svg.match(/<path/g)?.length, 3)
    t.false(svg.includes('NaN'))
  })
})
