/** Child processes of the benches. A child prints a line when it is ready. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'

/** A running child process. */
export interface Child {
  /** First group of the ready pattern, or its whole match; empty without a pattern. */
  readyMatch: string
  /** Resident set size, in MB. */
  residentMb(): number
  /** CPU time used so far, in ms. */
  cpuMs(): number
  /** Sends SIGTERM and waits for the exit. */
  stop(): Promise<void>
  /** Sends SIGKILL and waits for the exit. */
  kill(): Promise<void>
}

const CLOCK_TICKS_PER_S = 100

/** Starts a script and, if a pattern is given, waits until its output matches. */
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
    child.once('exit', (code) =>
      reject(new Error(`${script} exited with code ${code} before it was ready`)),
    )
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
