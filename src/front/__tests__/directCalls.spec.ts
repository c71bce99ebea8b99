import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { create, toBinary } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { request } from 'undici'
import { describe, it } from '../../../test/describe.js'
import { AskRequestSchema, NodeService } from '../../peer/gen/node_pb.js'
import type { ServiceOwner } from '../../scheduler/index.js'
import { createMemoryLogger, sleep } from '../../shared/index.js'
import type { StoreAccess } from '../../storeAccess/index.js'
import { createNodeClients, listenForNodes, ownerRoutes } from '../index.js'

const ASK_PATH = '/rillshunt.node.v1.NodeService/Ask'
const CANCEL = {
  questions: [{ service: 'one', about: { case: 'cancel' as const, value: 'a' } }],
}

/** A node that owns the service `one`, and the ids that it was told to cancel. */
async function startNode() {
  const cancelled: string[] = []
  const owner = {
    cancel: (id: string) => cancelled.push(id) > 0,
    status: () => 'running',
    waiting: () => 7,
  } as unknown as ServiceOwner
  const local = {
    service: (name: string) => (name === 'one' ? owner : undefined),
    fleet: () => undefined,
  }
  const log = createMemoryLogger()
  const routes = ownerRoutes(local, {} as StoreAccess)
  const server = await listenForNodes('127.0.0.1', 0, routes, log)
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const clients = createNodeClients()
  return {
    address,
    cancelled,
    log,
    client: clients.at(address),
    stop() {
      clients.close()
      server.close()
      server.closeAllConnections()
    },
  }
}

describe('calls of other nodes', () => {
  it('are answered in the order of their questions', async (t) => {
    const node = await startNode()
    const { answers } = await node.client.ask({
      questions: [
        { service: 'one', about: { case: 'status', value: 'a' } },
        { service: 'other', about: { case: 'status', value: 'a' } },
        { service: 'one', about: { case: 'waiting', value: 'queue' } },
      ],
    })
    t.deepEqual(
      answers.map(({ owns, status, waiting }) => [owns, status, waiting]),
      [
        [true, 'running', 0],
        [false, '', 0],
        [true, '', 7],
      ],
    )
    const { taken } = await node.client.fleetReport({ report: '{}' })
    t.false(taken)
    node.stop()
  })

  it('may come in JSON or compressed', async (t) => {
    const node = await startNode()
    const baseUrl = `http://${node.address}`
    for (const useBinaryFormat of [true, false]) {
      const transport = createConnectTransport({
        httpVersion: '1.1',
        baseUrl,
        useBinaryFormat,
      })
      const { answers } = await createClient(NodeService, transport).ask(CANCEL)
      t.true(answers[0]?.owns)
    }
    t.deepEqual(node.cancelled, ['a', 'a'])
    node.stop()
  })

  it('are refused when they cannot be read', async (t) => {
    const node = await startNode()
    const call = (body: Buffer) =>
      request(`http://${node.address}${ASK_PATH}`, {
        method: 'POST',
        headers: { 'content-type': 'application/proto' },
        body,
      })
    const res = await call(Buffer.from([255, 255, 255]))
    t.is(res.statusCode, 400)
    t.deepEqual(await res.body.json(), { code: 'invalid_argument' })
    t.true(node.log.events.some(({ name }) => name === 'unexpectedError'))
    const long = await call(Buffer.alloc(1024 * 1024 + 1))
    t.is(long.statusCode, 429)
    await long.body.dump()
    node.stop()
  })

  // A late node read calls and their ends in one turn, and carried none of them out.
  it('are carried out when their caller has given them up', async (t) => {
    const node = await startNode()
    const [host, port] = node.address.split(':')
    const message = toBinary(AskRequestSchema, create(AskRequestSchema, CANCEL))
    const head = [
      `POST ${ASK_PATH} HTTP/1.1`,
      `host: ${node.address}`,
      'content-type: application/proto',
      `content-length: ${message.byteLength}`,
      '',
      '',
    ].join('\r\n')
    const socket = connect(Number(port), host)
    socket.on('error', () => undefined)
    socket.write(Buffer.concat([Buffer.from(head), message]), () => socket.destroy())
    await sleep(200)
    t.deepEqual(node.cancelled, ['a'])
    node.stop()
  })
})
