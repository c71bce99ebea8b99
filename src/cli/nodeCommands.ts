/** `rillshunt node owners|organisations|waves|vms`: the nodes' fleet, from the store and the cloud. */
import { Option } from 'clipanion'
import { createCloudClient, platformDocuments } from '../../platform/index.js'
import { EPOCH_TABLE, NODES_TABLE, decodeEpoch, decodeNode } from '../ownership/index.js'
import type { RowStore, Vm } from '../ports/index.js'
import { UNLIMITED, maximumOf } from '../quotas/index.js'
import { QUOTAS_TABLE, decodeQuotaBounds } from '../scheduler/index.js'
import { EXIT } from '../shared/index.js'
import { WAVES_TABLE, decodeWaveRow } from '../vms/index.js'
import { AddressedCommand, StoreCommand, readAllRows } from './addressedCommand.js'
import { unwrap } from './base.js'

/** `node owners` */
export class NodeOwners extends StoreCommand {
  static override paths = [['node', 'owners']]
  static override usage = StoreCommand.Usage({
    description: 'list the owner of each service; with --json also the nodes',
  })

  async run(store: RowStore): Promise<number> {
    const nodes = (await readAllRows(store, NODES_TABLE)).flatMap((row) => {
      const node = decodeNode(row.value)
      return node ? { id: row.key, ...node } : []
    })
    const owners = (await readAllRows(store, EPOCH_TABLE)).flatMap((row) => {
      const epoch = decodeEpoch(row.value)
      return epoch ? { service: row.part, ...epoch } : []
    })
    const lines = owners.map(({ service, node, term }) => {
      const hall = nodes.find(({ id }) => id === node)?.hall ?? '-'
      return [service, node || '(none)', hall, term]
    })
    this.print({ owners, nodes }, () =>
      this.formatTable(['service', 'node', 'hall', 'term'], lines),
    )
    return EXIT.ok
  }
}

/** Formats a part of a maximum; `-` where nothing is known, `no limit` for a very large amount. */
const formatAmount = (amount: number | undefined): string | number => {
  if (amount === undefined) return '-'
  return amount >= UNLIMITED ? 'no limit' : Math.round(amount)
}

/** `node organisations` */
export class NodeOrganisations extends StoreCommand {
  static override paths = [['node', 'organisations']]
  static override usage = StoreCommand.Usage({
    description:
      'list organisations with their keys counted, maxima, and what services may use of them',
  })

  async run(store: RowStore): Promise<number> {
    const { operator } = platformDocuments
    const rows = unwrap(await store.read(operator.table, '')).rows
    const row = rows.find(({ key }) => key === operator.configurationKey)
    const cfg = row && operator.decodeConfiguration(row.value).unwrapOr(undefined)
    const bounds = (await readAllRows(store, QUOTAS_TABLE)).map(({ part, value }) => ({
      service: part,
      bounds: decodeQuotaBounds(value),
    }))
    const organisations = [...(cfg?.organisations?.values() ?? [])].map(
      ({ name, keyDigests, weight }) => ({
        name,
        keys: keyDigests.length,
        weight,
        maximumCpu: maximumOf(cfg, name)?.cpu ?? UNLIMITED,
        boundCpu: bounds.map(({ bounds: known }) => known?.get(name)?.cpu),
      }),
    )
    const services = bounds.map(({ service }) => service)
    const head = ['organisation', 'keys', 'weight', 'most cpu', ...services]
    const lines = organisations.map(({ name, keys, weight, maximumCpu, boundCpu }) => [
      name,
      keys,
      weight,
      ...[maximumCpu, ...boundCpu].map(formatAmount),
    ])
    this.print({ services, organisations }, () => this.formatTable(head, lines))
    return EXIT.ok
  }
}

/** `node waves` */
export class NodeWaves extends StoreCommand {
  static override paths = [['node', 'waves']]
  static override usage = StoreCommand.Usage({
    description: 'list maintenance waves and their progress',
  })

  async run(store: RowStore): Promise<number> {
    const begun = new Map<string, string[]>()
    for (const row of await readAllRows(store, WAVES_TABLE)) {
      begun.set(row.key, decodeWaveRow(row.value)?.begun ?? [])
    }
    const { operator } = platformDocuments
    const rows = unwrap(await store.read(operator.table, '')).rows
    const waves = rows
      .filter(({ key }) => operator.isWave(key))
      .flatMap((row) => operator.decodeWave(row.value).unwrapOr(undefined) ?? [])
      .map((wave) => ({ ...wave, begun: begun.get(String(wave.id)) ?? [] }))
    const lines = waves.map(({ id, vms, maxDown, begun: done }) => [
      id,
      vms.length,
      done.length,
      maxDown,
      vms.filter((vm) => !done.includes(vm)).join(' ') || '-',
    ])
    const head = ['wave', 'VMs', 'begun', 'at once', 'open']
    this.print(waves, () => this.formatTable(head, lines))
    return EXIT.ok
  }
}

/** Counts the VMs of each pool, and those that are up. */
function countByPool(vms: Vm[]) {
  const names = [...new Set(vms.map(({ pool }) => pool))].sort()
  return names.map((pool) => {
    const members = vms.filter((vm) => vm.pool === pool)
    const up = members.filter(({ state }) => state === 'up').length
    return { pool, vms: members.length, up }
  })
}

/** `node vms` */
export class NodeVms extends AddressedCommand {
  static override paths = [['node', 'vms']]
  static override usage = AddressedCommand.Usage({
    description: 'list VMs with their pool and state, or their numbers by pool',
  })
  address = Option.String('--cloud', {
    description: 'IP:PORT of the cloud (default: $RILLSHUNT_CLOUD)',
  })
  byPool = Option.Boolean('--pools', false, { description: 'only the numbers by pool' })

  override execute(): Promise<number> {
    const service = {
      name: 'cloud',
      option: '--cloud',
      given: this.address,
      variable: 'RILLSHUNT_CLOUD',
      open: (address: string) => createCloudClient({ address }),
    }
    return this.withClient(service, async (cloud) => {
      const { vms } = unwrap(await cloud.list())
      if (this.byPool) this.printPools(vms)
      else this.printVms(vms)
      return EXIT.ok
    })
  }

  private printPools(vms: Vm[]): void {
    const pools = countByPool(vms)
    const lines = pools.map(({ pool, vms: count, up }) => [pool, count, up])
    this.print(pools, () => this.formatTable(['pool', 'VMs', 'up'], lines))
  }

  private printVms(vms: Vm[]): void {
    const head = ['hall', 'VM', 'pool', 'state', 'target']
    const lines = vms.map(({ hall, name, pool, state, targetId }) => [
      hall,
      name,
      pool,
      state,
      targetId || '-',
    ])
    this.print(vms, () => this.formatTable(head, lines))
  }
}
