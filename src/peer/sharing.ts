/** Transfer of the table and the rows of the hall to peers that lack the platform. */
import type { CallOptions, Client, ServiceImpl } from '@connectrpc/connect'
import { Code, ConnectError } from '@connectrpc/connect'
import { z } from 'zod'
import { changesSchema } from '../platform/index.js'
import type { RowWatch } from '../platform/index.js'
import { acceptedSchema } from '../table/index.js'
import type { TableHolder } from '../table/index.js'
import type { PeerService } from './gen/peer_pb.js'

type PeerClient = Client<typeof PeerService>

const rowsSchema = z.object({ rows: changesSchema.shape.rows })

/** Creates routes and calls for tables and rows. Calls reject if the reply is invalid. */
export function createDataSharing(opts: {
  hall: string
  table: TableHolder
  rows: RowWatch
}) {
  const { hall, table, rows } = opts
  const routes: Pick<ServiceImpl<typeof PeerService>, 'fetchTable' | 'fetchRows'> = {
    fetchTable: () => {
      const accepted = table.current()?.accepted
      return { acceptedJson: accepted ? JSON.stringify(accepted) : '' }
    },
    fetchRows(req) {
      if (req.hall !== hall) throw new ConnectError('another hall', Code.InvalidArgument)
      const rowsJson = JSON.stringify({ rows: [...rows.rows.values()] })
      return { revision: BigInt(rows.revision()), rowsJson }
    },
  }
  return {
    routes,
    /** Epoch of the table in force; 0 if there is none yet. */
    epoch: () => table.current()?.epoch ?? 0,
    async fetchTable(client: PeerClient, options: CallOptions): Promise<void> {
      const res = await client.fetchTable({}, options)
      if (res.acceptedJson === '') return
      table.offer(acceptedSchema.parse(JSON.parse(res.acceptedJson)), 'peer')
    },
    /** Fetches the rows of the hall into a copy that is still empty. */
    async fetchRows(client: PeerClient, options: CallOptions): Promise<void> {
      const res = await client.fetchRows({ hall }, options)
      const { rows: fetched } = rowsSchema.parse(JSON.parse(res.rowsJson))
      rows.seed({
        revision: Number(res.revision),
        rows: fetched,
        deleted: [],
        full: true,
      })
    },
  }
}
