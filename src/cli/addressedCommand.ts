/** Base of commands that read from a platform service at a given address. */
import { Option } from 'clipanion'
import { createStoreClient } from '../../platform/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import { EXIT } from '../shared/index.js'
import { OutputCommand, unwrap } from './base.js'

/** A service whose address comes from an option or from an environment variable. */
interface ServiceAddress<C> {
  /** Name of the service in error messages. */
  name: string
  option: string
  given: string | undefined
  variable: string
  open(address: string): C
}

const ADDRESS = /^[\d.]+:\d+$/

/** Base of commands that open a client and close it at the end. */
export abstract class AddressedCommand extends OutputCommand {
  /** Calls `run` with a client of the service; returns its exit code. */
  async withClient<C extends { close(): void }>(
    service: ServiceAddress<C>,
    run: (client: C) => Promise<number>,
  ): Promise<number> {
    const { name, option, variable } = service
    const address = service.given ?? process.env[variable]
    if (address === undefined || !ADDRESS.test(address)) {
      return this.fail(
        `no valid address for the ${name}: use ${option} IP:PORT or set ${variable}`,
        EXIT.usage,
      )
    }
    const client = service.open(address)
    try {
      return await run(client)
    } catch (cause) {
      return this.failWith(cause)
    } finally {
      client.close()
    }
  }
}

/** Base of commands that read the store of the nodes. */
export abstract class StoreCommand extends AddressedCommand {
  address = Option.String('--store', {
    description: 'IP:PORT of the store (default: $RILLSHUNT_STORE)',
  })

  abstract run(store: RowStore): Promise<number>

  override execute(): Promise<number> {
    const service = {
      name: 'store',
      option: '--store',
      given: this.address,
      variable: 'RILLSHUNT_STORE',
      open: (address: string) => createStoreClient({ address }),
    }
    return this.withClient(service, (store) => this.run(store))
  }
}

/** Reads all rows of a table, part by part. */
export async function readAllRows(store: RowStore, table: string): Promise<StoredRow[]> {
  const rows: StoredRow[] = []
  for (const part of unwrap(await store.parts(table))) {
    rows.push(...unwrap(await store.read(table, part)).rows)
  }
  return rows
}
