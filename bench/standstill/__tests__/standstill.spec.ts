import { describe, it } from '../../../test/describe.js'
import { readLog } from '../../account/readLog.js'
import { findStandstills } from '../findStandstills.js'
import { findLogGaps } from '../findLogGaps.js'

const START = Date.UTC(2026, 0, 1)

const lineAt = (seconds: number, name: string, fields: object): string =>
  JSON.stringify({
    timestamp: new Date(START + seconds * 1000).toISOString(),
    name,
    node: 'n1',
    ...fields,
  })
const taken = (seconds: number, job: string): string =>
  lineAt(seconds, 'jobTaken', { job, service: 'a' })
const placed = (seconds: number, task: string, target: string, waitedMs = 0): string =>
  lineAt(seconds, 'taskPlaced', { task, target, waitedMs })
const ended = (seconds: number, task: string, target: string, kind: string): string =>
  lineAt(seconds, 'runEnded', { task, target, kind })

function findAll(...lines: string[]) {
  const text = lines.join('\n')
  return findStandstills(readLog(text), findLogGaps(text))
}
const find = (...lines: string[]) => findAll(...lines).standstills

describe('findStandstills', () => {
  describe('of one job', () => {
    it('finds the wait between a failed run and the next one', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0.1, 'j1.0.0.0', 'v1', 100),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
        placed(21, 'j1.0.0.0', 'v1', 20_000),
        ended(22, 'j1.0.0.0', 'v1', 'done'),
        lineAt(22, 'jobEnded', { job: 'j1' }),
      )
      t.is(found?.ms, 20_000)
      t.is(found?.withRoomMs, 20_000)
      t.false(found?.unfinished)
    })

    it('leaves out the time in which another task of the job runs', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        placed(0, 'j1.0.0.1', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
        ended(4, 'j1.0.0.1', 'v1', 'done'),
        placed(6, 'j1.0.0.0', 'v1', 5000),
      )
      t.is(found?.ms, 2000)
    })

    it('leaves out the time in which no task is ready', (t) => {
      const found = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'done'),
        placed(9, 'j1.1.0.0', 'v1', 500),
      )
      t.is(found[0]?.ms, 500)
    })

    it('reports a standstill that lasts until the logs end', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'stopped'),
        lineAt(17, 'targetHeard', { target: 'v2' }),
      )
      t.is(found?.ms, 16_000)
      t.true(found?.unfinished)
    })

    it('reports a job that never starts as incomplete', (t) => {
      const { standstills, incomplete } = findAll(
        taken(0, 'j1'),
        lineAt(30, 'targetHeard', { target: 'v1' }),
      )
      t.deepEqual(standstills, [])
      t.deepEqual(incomplete, ['j1'])
    })

    it('reports no standstill of an open job whose later lines may be lost', (t) => {
      const lines = [
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
      ]
      const damaged = `  2.0 n1 ${taken(2, 'j2').slice(0, 60)}${taken(2, 'j3').slice(20)}`
      const ofAnotherNode = damaged.replace('n1', 'n2')
      t.is(find(...lines, damaged, taken(30, 'j4')).length, 0)
      t.is(find(...lines, ofAnotherNode, taken(30, 'j4'))[0]?.ms, 29_000)
    })

    it('counts a run whose start is not logged as running', (t) => {
      const found = find(
        taken(0, 'j1'),
        ended(5, 'j1.0.0.0', 'v1', 'done'),
        lineAt(5, 'jobEnded', { job: 'j1' }),
      )
      t.deepEqual(found, [])
    })

    it('ends the inherited runs that a takeover has not found', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        lineAt(5, 'ownershipTaken', { service: 'a' }),
        lineAt(6, 'takeoverDone', { service: 'a' }),
        placed(9, 'j1.0.0.0', 'v2', 3000),
      )
      t.is(found?.ms, 3000)
    })
  })

  describe('of a job with a new owner', () => {
    it('counts from the failure that the previous owner logged', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
        placed(9, 'j1.0.0.0', 'v2', 1000).replace('n1', 'n2'),
      )
      t.is(found?.ms, 8000)
    })
  })

  describe('room', () => {
    it('exists while a usable target runs no finite task', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        taken(0, 'j2'),
        placed(0, 'j1.0.0.0', 'v1'),
        placed(0, 'j2.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
        ended(3, 'j2.0.0.0', 'v1', 'done'),
        lineAt(3, 'jobEnded', { job: 'j2' }),
        lineAt(5, 'evacuating', { target: 'v1', wanted: true }),
        placed(9, 'j1.0.0.0', 'v2', 8000),
      )
      t.is(found?.ms, 8000)
      t.is(found?.withRoomMs, 2000)
    })

    it('exists beside a long-running task', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        taken(0, 'j2'),
        placed(0, 'j1.0.0.0', 'v1'),
        placed(0, 'j2.0.0.0', 'v1'),
        ended(10, 'j1.0.0.0', 'v1', 'failed'),
        placed(14, 'j1.0.0.0', 'v1', 4000),
        ended(40, 'j2.0.0.0', 'v1', 'stopped'),
      )
      t.is(found?.withRoomMs, 4000)
    })
  })

  describe('reasons', () => {
    it('are those logged for the job during the standstill', (t) => {
      const [found] = find(
        taken(0, 'j1'),
        placed(0, 'j1.0.0.0', 'v1'),
        ended(1, 'j1.0.0.0', 'v1', 'failed'),
        lineAt(2, 'taskWaits', { job: 'j1', hold: 'suspect' }),
        lineAt(3, 'taskWaits', { job: 'j1', hold: 'suspect' }),
        lineAt(3, 'jobStalled', { job: 'j1' }),
        lineAt(3, 'taskWaits', { job: 'j2', hold: 'room' }),
        placed(4, 'j1.0.0.0', 'v1', 3000),
      )
      t.deepEqual(
        [...(found?.reasons ?? [])],
        [
          ['taskWaits: suspect', 2],
          ['jobStalled', 1],
        ],
      )
    })
  })

  it('sorts by the time with room, longest first', (t) => {
    const found = find(
      taken(0, 'j1'),
      taken(0, 'j2'),
      placed(0, 'j1.0.0.0', 'v1'),
      placed(4, 'j2.0.0.0', 'v1', 4000),
      ended(5, 'j1.0.0.0', 'v1', 'failed'),
      ended(5, 'j2.0.0.0', 'v1', 'done'),
      placed(7, 'j1.0.0.0', 'v1', 2000),
    )
    t.deepEqual(
      found.map(({ job, ms, withRoomMs }) => [job, ms, withRoomMs]),
      [
        ['j1', 2000, 2000],
        ['j2', 4000, 0],
      ],
    )
  })
})
