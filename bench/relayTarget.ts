/** Child process of the relay bench: a target that replies with 300 bytes at once. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

const ANSWER = Buffer.alloc(300, 'x')
const HEALTH = JSON.stringify({
  vm: 'v1',
  incarnation: 'v1.1',
  job: 'j1',
  state: 'ok',
  load: 0,
})

const server = createServer((req, res) => {
  const answer = req.url === '/health' ? HEALTH : ANSWER
  req.resume()
  req.on('end', () => {
    res.writeHead(200, { 'content-length': answer.length, 'content-type': 'text/plain' })
    res.end(answer)
  })
})
server.keepAliveTimeout = 600_000
server.listen(0, '127.0.0.1', () => {
  console.log(`ready 127.0.0.1:${(server.address() as AddressInfo).port}`)
})
process.once('SIGTERM', () => process.exit(0))
