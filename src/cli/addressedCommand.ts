/** Base of commands that read from a service of the platform whose address they are given. */
import { Option } from 'clipanion'
import { createStoreClient } from '../../platform/index.js'
import type { RowStore, StoredRow } from '../ports/index.js'
import { EXIT } from '../shared/index.js'
import { OutputCommand, unwrap } from './base.js'

/** A service whose address an option or else a variable gives. */
interface ServiceAddress<C> {
  /** What it is called in the message when no address is given. */
  name: string
  option: string
  given: string | undefined
  variable: string
  open(address: string): C
}

const ADDRESS = /^[\d.]+:\d+$/

/** Base of commands that open one client and close it in the end. */
export abstract class AddressedCommand extends OutputCommand {
  /** Runs with a client of the service; its number is the exit code. */
  async withClient<C extends { close(): void }>(
    service: ServiceAddress<C>,
    run: (client: C) => Promise<number>,
  ): Promise<number> {
    const { name, option, variable } = service
    const address = service.given ?? process.env[variable]
    if (address === undefined || !ADDRESS.test(address)) {
      return this.fail(`name the ${name} by ${option} IP:PORT or ${variable}`, EXIT.usage)
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
    description: 'IP:PORT of the store; RILLSHUNT_STORE otherwise',
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

/** All rows of a table, part by part. */
export async function readAllRows(store: RowStore, table: string): Promise<StoredRow[]> {
  const rows: StoredRow[] = []
  for (const part of unwrap(await store.parts(table))) {
    rows.push(...unwrap(await store.read(table, part)).rows)
  }
  return rows
}
