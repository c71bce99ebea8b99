import { spawn } from 'node:child_process'
import { once } from 'node:events'
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../test/describe.js'
import { freePort } from '../ports.js'
import { writeNodeSettings } from '../sim/nodeProcess.js'
import type { NodeSettings } from '../sim/nodeProcess.js'

const PORTS_EACH = 20

/** Nodes whose settings are written; enough for several blocks of ports. */
const NODES = 150

/** Prints the ports that it allocates, and runs until its input ends. */
const PROGRAM = `
  const { freePort } = await import(process.argv[1])
  const ports = []
  while (ports.length < ${PORTS_EACH}) ports.push(await freePort())
  console.log(JSON.stringify(ports))
  process.stdin.resume()
`

/** Ports that a child process allocates, which runs until the end of the test. */
async function portsOfProcess(t: ExecutionContext): Promise<number[]> {
  const args = ['--input-type=module', '-e', PROGRAM, '--']
  const module = new URL('../ports.js', import.meta.url).href
  const child = spawn(process.execPath, [...args, module], {
    stdio: ['pipe', 'pipe', 'inherit'],
  })
  t.teardown(() => child.stdin.end())
  const [line] = (await once(child.stdout, 'data')) as [Buffer]
  return JSON.parse(line.toString()) as number[]
}

describe('freePort', () => {
  it('allocates each port only once, within and across processes', async (t) => {
    const others = await Promise.all([1, 2, 3].map(() => portsOfProcess(t)))
    const own = await Promise.all(Array.from({ length: PORTS_EACH }, () => freePort()))
    const all = [...others.flat(), ...own]
    t.is(new Set(all).size, PORTS_EACH * 4)
  })
})

describe('writeNodeSettings', () => {
  it('gives each node ports of its own', async (t) => {
    const platform = { storeAddress: '127.0.0.1:1' }
    const nodes: NodeSettings[] = []
    while (nodes.length < NODES) {
      nodes.push(await writeNodeSettings(platform, `n${nodes.length}`, 'h1'))
    }
    const ports = nodes.flatMap(({ callers, readiness, metrics }) =>
      [callers, readiness, new URL(metrics).host].map((address) => address.split(':')[1]),
    )
    t.is(new Set(ports).size, ports.length)
  })
})
