/** Node processes of the project, started with the command of the deploy file. */
import { spawn } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { request, Agent } from 'node:http'
import { join } from 'node:path'
import { now } from './http.mjs'
import { fillTemplate, readDeployFile, root } from './settings.mjs'

/** Time after which the platform starts a process again that has ended, in ms. */
const RESTART_MS = 500
const CALLERS_PORT = 8624
const READINESS_PORT = 8622
const READY_TIMEOUT_MS = 900

/** Sends a request; status 0 means that no answer came. */
function send(options, text, timeoutMs) {
  return new Promise((resolve) => {
    const sentAt = now()
    const finish = (result) => {
      clearTimeout(timer)
      resolve({ ...result, tookMs: Math.round(now() - sentAt) })
    }
    const fail = (cause) => finish({ status: 0, error: cause.code ?? cause.message })
    const req = request(options, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('error', fail)
      res.on('end', () => {
        const answer = Buffer.concat(chunks).toString('utf8')
        finish({
          status: res.statusCode,
          json: answer.startsWith('{') && JSON.parse(answer),
        })
      })
    })
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), timeoutMs)
    req.on('error', fail)
    req.end(text)
  })
}

/** Creates a node that is not started yet; one that ends by itself is started again. */
export function createNode({ ip, settings, directory, record }) {
  const { command, template } = readDeployFile()
  const { node_name: name } = settings
  const file = join(directory, `${name}.ini`)
  const agent = new Agent({ keepAlive: true })
  let child
  let isClosed = false
  /** Time after which the process starts again that is being killed, in ms. */
  let downMs
  const node = { name, ends: 0, lastLines: [] }

  function onOutput(chunk) {
    const lines = chunk.toString('utf8').split('\n')
    node.lastLines = [...node.lastLines, ...lines].slice(-60)
  }

  node.start = () => {
    writeFileSync(file, fillTemplate(template, settings))
    const [program, ...args] = command
    const { PATH, HOME } = process.env
    const env = { PATH, HOME, RILLSHUNT_BOOT: file }
    child = spawn(program, args, { cwd: root, env, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.on('data', onOutput)
    child.stderr.on('data', onOutput)
    child.on('exit', (code, signal) => {
      if (isClosed) return
      if (downMs !== undefined) {
        setTimeout(() => !isClosed && node.start(), downMs)
        downMs = undefined
        return
      }
      node.ends++
      const reason = node.lastLines.find((line) => line.includes('FATAL ERROR')) ?? ''
      record('a process ended by itself', { node: name, code, signal, reason })
      setTimeout(() => !isClosed && node.start(), RESTART_MS)
    })
  }
  /** Kills the process; it is started again after `ms`. */
  node.kill = (ms) => {
    downMs = ms
    child.kill('SIGKILL')
  }
  node.close = () => {
    isClosed = true
    agent.destroy()
    child?.kill('SIGKILL')
  }
  node.call = (method, path, { host, body, timeoutMs = 3000 }) => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const headers = { host, 'rillshunt-deadline-ms': String(timeoutMs) }
    if (text !== '') headers['content-type'] = 'application/json'
    const options = { host: ip, port: CALLERS_PORT, method, path, headers, agent }
    return send(options, text, timeoutMs)
  }
  node.isReady = async () => {
    const options = { host: ip, port: READINESS_PORT, path: '/readiness' }
    return (await send(options, '', READY_TIMEOUT_MS)).status === 200
  }
  return node
}

/** Addresses at which a node listens. */
export const listenAt = (ip) => ({
  frontend: `${ip}:${CALLERS_PORT}`,
  readiness: `${ip}:${READINESS_PORT}`,
})
