import { createRowTable } from '../../../playground/sim/rowTable.js'
import { describe, it } from '../../../test/describe.js'
import { platformDocuments } from '../../../platform/index.js'
import { maximumOf } from '../../quotas/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import { createConfigurationHolder } from '../index.js'

const KEY = { table: 'op', part: '', key: 'config' }

const configuration = (version: number, prefixes: string[]): string =>
  JSON.stringify({
    version,
    routes: prefixes.map((prefix) => ({
      name: `r${prefix}`,
      host: 'h.example',
      path_prefix: prefix,
      service: 's',
    })),
    services: [{ name: 's' }],
  })

function start() {
  const table = createRowTable()
  const holder = createConfigurationHolder({
    store: table.forNode('n'),
    documents: platformDocuments.operator,
    log: createMemoryLogger(),
  })
  return { table, holder }
}

describe('createConfigurationHolder', () => {
  it('puts a new configuration in force at once', async (t) => {
    const { table, holder } = start()
    table.put(KEY, configuration(1, ['/a/']))
    await sleep(300)
    t.is(holder.current()?.version, 1)
    table.put(KEY, configuration(5, ['/a/', '/b/']))
    await sleep(50)
    t.is(holder.current()?.version, 5)
    await holder.stop()
  })

  describe('route or organisation that a later configuration removes', () => {
    const tenant = { name: 'o', api_keys: ['key'], weight: 2, maximum: { cpu: 500 } }
    const withTenants = (version: number, prefixes: string[], tenants: object[]) =>
      JSON.stringify({ ...JSON.parse(configuration(version, prefixes)), tenants })

    // Guards against jobs without limits of attempts and quotas once nothing names them.
    it('stays known as last configured, and callers cannot use it', async (t) => {
      const { table, holder } = start()
      table.put(KEY, withTenants(1, ['/a/'], [tenant]))
      await sleep(300)
      table.put(KEY, withTenants(2, ['/b/'], []))
      await sleep(50)
      t.is(holder.current()?.version, 2)
      t.is(holder.match('h.example', '/a/x'), undefined)
      t.is(holder.lastKnownQueue('r/a/')?.pathPrefix, '/a/')
      t.is(holder.organisationOfKey('key'), undefined)
      t.like(maximumOf(holder.current(), 'o'), { cpu: 500 })
      table.put(KEY, withTenants(3, ['/a/'], [{ ...tenant, maximum: { cpu: 900 } }]))
      await sleep(50)
      t.like(maximumOf(holder.current(), 'o'), { cpu: 900 })
      t.is(holder.current()?.formerOrganisations?.size, 0)
      await holder.stop()
    })
  })

  it('keeps its configuration if a document is older or invalid', async (t) => {
    const { table, holder } = start()
    table.put(KEY, configuration(5, ['/a/']))
    await sleep(300)
    table.put(KEY, configuration(4, ['/b/']))
    table.put(KEY, '{"version":9}')
    table.put(KEY, 'no json')
    await sleep(100)
    t.is(holder.current()?.version, 5)
    await holder.stop()
  })

  it('reads all rows again if the history is compacted', async (t) => {
    const { table, holder } = start()
    table.put(KEY, configuration(1, ['/a/']))
    await sleep(300)
    table.faults.down = true
    await sleep(1500)
    table.put(KEY, configuration(2, ['/a/']))
    table.compact()
    table.faults.down = false
    await sleep(900)
    t.is(holder.current()?.version, 2)
    await holder.stop()
  })

  it('matches the longest prefix', async (t) => {
    const { table, holder } = start()
    table.put(KEY, configuration(1, ['/a/', '/a/b/']))
    await sleep(300)
    t.is(holder.match('h.example', '/a/b/1')?.pathPrefix, '/a/b/')
    t.is(holder.match('h.example', '/a/c')?.pathPrefix, '/a/')
    t.is(holder.match('h.example', '/c')?.pathPrefix, undefined)
    t.is(holder.match('other.example', '/a/'), undefined)
    await holder.stop()
  })

  describe('cordons', () => {
    const cordonOf = (hall: string) => ({ ...KEY, key: `evacuate/${hall}` })

    it('are known as soon as the configuration is, whatever their value', async (t) => {
      const { table, holder } = start()
      table.put(cordonOf('h1'), 'no json')
      table.put(KEY, configuration(1, ['/a/']))
      await sleep(300)
      t.is(holder.current()?.version, 1)
      t.deepEqual([...holder.cordons().keys()], ['h1'])
      await holder.stop()
    })

    it('end only when their row is removed, also if the history is compacted', async (t) => {
      const { table, holder } = start()
      table.put(cordonOf('h1'), '{}')
      table.put(cordonOf('h2'), '{}')
      await sleep(300)
      table.faults.down = true
      await sleep(1500)
      t.deepEqual([...holder.cordons().keys()], ['h1', 'h2'])
      table.remove(cordonOf('h1'))
      table.compact()
      table.faults.down = false
      await sleep(900)
      t.deepEqual([...holder.cordons().keys()], ['h2'])
      await holder.stop()
    })

    it('keep the time of their first sight when the row is written again', async (t) => {
      const { table, holder } = start()
      table.put(cordonOf('h1'), '{}')
      await sleep(300)
      const since = holder.cordons().get('h1')
      table.put(cordonOf('h1'), '{"again":true}')
      await sleep(100)
      t.is(holder.cordons().get('h1'), since)
      await holder.stop()
    })

    it('ignore a row that names no hall', async (t) => {
      const { table, holder } = start()
      table.put(cordonOf(''), '{}')
      await sleep(300)
      t.is(holder.cordons().size, 0)
      await holder.stop()
    })
  })
})
