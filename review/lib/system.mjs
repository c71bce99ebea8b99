/** Starts the system as deployed, beside the stand-ins of the project. */
import { spawn } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { fillTemplate } from './template.mjs'

/** Zones of the small deployment tsb-sofia. */
export const ZONES = ['sof-a', 'sof-b', 'sof-c', 'sof-d']
export const HOST = 'clients.example'
/** Bounds of the small deployment tsb-sofia, in ms. */
export const BOUNDS = {
  configApplyMs: 2000,
  visibleMs: 3000,
  cancelMs: 3000,
  stopMs: 900,
}
const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url))
const READY_TIMEOUT_MS = 20_000
const CALL_TIMEOUT_MS = 3000

/** Ends the script with code 2: the case could not run. */
export class CannotRun extends Error {}

function freePort(address) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, address, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })
}

/** Makes one call; the status is 0 if there was no answer in time. */
export function call(address, method, path, body) {
  const [host, port] = address.split(':')
  const text = body === undefined ? undefined : JSON.stringify(body)
  return new Promise((resolve) => {
    const headers = { Host: HOST, 'Rillshunt-Deadline-Ms': String(CALL_TIMEOUT_MS) }
    if (text !== undefined) headers['Content-Type'] = 'application/json'
    const options = { host, port, method, path, headers, timeout: CALL_TIMEOUT_MS }
    const req = request(options, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8')
        let json
        try {
          json = JSON.parse(answer)
        } catch {
          json = undefined
        }
        resolve({ status: res.statusCode, text: answer, json })
      })
      res.on('error', () => resolve({ status: 0, text: '', json: undefined }))
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve({ status: 0, text: '', json: undefined }))
    req.end(text)
  })
}

/** Program and arguments of the only role, from the deploy file. */
function deployedCommand() {
  const deploy = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const run = /^run = "(.*)"$/m.exec(deploy)?.[1]
  const template = /^template = "(.*)"$/m.exec(deploy)?.[1]
  if (!run || !template) throw new CannotRun('the deploy file names no command')
  const [program, ...args] = run.split(' ')
  const path = join(REPOSITORY, template)
  return { program, args, template: readFileSync(path, 'utf8') }
}

async function loadStandIns() {
  const file = join(REPOSITORY, 'dist/playground/sim/wireServer.js')
  if (!existsSync(file)) throw new CannotRun('run review/build.sh first')
  if (!existsSync(join(REPOSITORY, 'target/rillshunt-node.cjs')))
    throw new CannotRun('run the build of the deploy file first')
  return import(file)
}

/**
 * Starts the platform with the given pools, and one node in each zone.
 * @param configuration first configuration of the operator
 */
export async function startSystem({ pools, configuration, record }) {
  const { startSimPlatform } = await loadStandIns()
  const platform = await startSimPlatform({
    pools,
    halls: ZONES,
    capacity: { cpu: 32_000, memMb: 131_072, gpu: 0 },
    offlineMs: 1500,
  })
  platform.putConfiguration(configuration)
  const watchers = []
  platform.ledger.watch = (entry) => {
    const { what, task, run, target } = entry
    if (what !== 'listed' && what !== 'noted')
      record(`minion ${target}: task ${task} run ${run}: ${what}`)
    for (const watch of watchers) watch(entry)
  }
  const directory = mkdtempSync(join(tmpdir(), 'rillshunt-review-'))
  const { program, args, template } = deployedCommand()
  const net = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`
  const children = []
  const killAll = () => {
    for (const child of children) child.kill('SIGKILL')
  }
  process.once('exit', killAll)

  async function startNode(zone, index) {
    const name = `frontend-${zone}-1`
    const ip = `${net}.${10 + index}`
    const [frontend, readiness, internal] = [
      await freePort(ip),
      await freePort(ip),
      await freePort(ip),
    ]
    const settings = {
      node_name: name,
      role: 'entry',
      machine_class: 'frontend',
      ip,
      zone,
      zones: Object.fromEntries(ZONES.map((each) => [each, 'sofia'])),
      listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` },
      internal_ports: [internal, internal + 15],
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, link_mbps: 1000 },
      contracts: 'base,drain,config,cost,recover,sched,platform,upkeep,sharing'.split(
        ',',
      ),
      orders: 'call',
      advice: '',
      platform: { address: platform.storeAddress, form: 'table' },
      cloud: { address: platform.cloudAddress, duties_per_s: 64 },
    }
    const file = join(directory, `${name}.ini`)
    writeFileSync(file, fillTemplate(template, [settings]))
    const { PATH, HOME, LANG } = process.env
    const env = { PATH, HOME, LANG, RILLSHUNT_BOOT: file }
    const logFile = join(directory, `${name}.log`)
    const node = {
      name,
      zone,
      address: settings.listen.frontend,
      logFile,
      child: undefined,
    }
    node.readiness = settings.listen.readiness
    node.start = () => {
      const child = spawn(program, args, {
        cwd: REPOSITORY,
        env,
        stdio: ['ignore', 'pipe', 'pipe'],
      })
      node.child = child
      children.push(child)
      for (const stream of [child.stdout, child.stderr])
        stream.on('data', (chunk) => writeFileSync(logFile, chunk, { flag: 'a' }))
      node.exited = new Promise((resolve) => child.once('exit', resolve))
    }
    node.start()
    return node
  }

  async function stop() {
    killAll()
    await Promise.race([platform.close(), sleep(2000)])
    if (!process.env.KEEP_LOGS) rmSync(directory, { recursive: true, force: true })
    else process.stdout.write(`logs of the nodes: ${directory}\n`)
  }

  const nodes = []
  try {
    for (const [index, zone] of ZONES.entries()) nodes.push(await startNode(zone, index))
    const endsAt = performance.now() + READY_TIMEOUT_MS
    for (const node of nodes) {
      while ((await call(node.readiness, 'GET', '/readiness')).status !== 200) {
        if (performance.now() > endsAt) throw new CannotRun(`${node.name} is not ready`)
        await sleep(100)
      }
    }
  } catch (cause) {
    await stop()
    throw cause
  }
  record(`${nodes.length} nodes are ready`)
  return { platform, nodes, watchers, stop }
}

/** Runs a case and ends the process with its code. */
export async function runCase(body) {
  let code = 2
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2))
  try {
    code = await body()
  } catch (cause) {
    process.stdout.write(`the case could not run: ${cause?.stack ?? cause}\n`)
  }
  process.exit(code)
}
