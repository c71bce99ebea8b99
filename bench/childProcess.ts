/** Child processes of the benches: each says on its output when it is ready. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'

/** A running child. */
export interface Child {
  /** The text that it printed with its ready line. */
  readyMatch: string
  /** Resident memory in MB, as the system counts it. */
  residentMb(): number
  /** Processor time used so far, in ms. */
  cpuMs(): number
  stop(): Promise<void>
  /** Ends it at once, as a failure would. */
  kill(): Promise<void>
}

const CLOCK_TICKS_PER_S = 100

/** Starts a script of this project and, if a pattern is given, waits for a line that matches. */
export async function startChild(
  script: string,
  args: string[],
  readyPattern: RegExp | undefined,
): Promise<Child> {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  const pattern = readyPattern ?? /^/
  const readyMatch = await new Promise<string>((resolve, reject) => {
    let out = ''
    if (!readyPattern) resolve('')
    child.once('exit', (code) => reject(new Error(`${script} ended with ${code}`)))
    child.stdout.on('data', (chunk: Buffer) => {
      if (!readyPattern || pattern.test(out)) return
      out += chunk
      const match = pattern.exec(out)
      if (match) resolve(match[1] ?? match[0])
    })
  })
  async function end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = once(child, 'exit')
    child.kill(signal)
    await ended
  }
  const proc = (file: string) => readFileSync(`/proc/${child.pid}/${file}`, 'utf8')
  return {
    readyMatch,
    residentMb: () => Number(/VmRSS:\s+(\d+) kB/.exec(proc('status'))![1]) / 1024,
    cpuMs() {
      const fields = proc('stat').split(') ')[1]!.split(' ')
      return ((Number(fields[11]) + Number(fields[12])) * 1000) / CLOCK_TICKS_PER_S
    },
    stop: () => end('SIGTERM'),
    kill: () => end('SIGKILL'),
  }
}
