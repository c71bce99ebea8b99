import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from '../../../test/describe.js'

const ENTRY = 'dist/src/bin/entry.js'
const GOOD =
  '[node]\nid = e1\nhall = h1\n[listen]\nport = 0\nops_port = 0\npeer_port = 0\n[platform]\nurl = http://127.0.0.1:1\n'

async function configFile(text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'rillshunt-')), 'e.ini')
  await writeFile(file, text)
  return file
}

async function collectOutput(
  child: ChildProcess,
): Promise<{ code: number | null; out: string; err: string }> {
  let out = ''
  let err = ''
  child.stdout!.on('data', (chunk) => (out += chunk))
  child.stderr!.on('data', (chunk) => (err += chunk))
  const [code] = (await once(child, 'close')) as [number | null]
  return { code, out, err }
}

const run = (...args: string[]) =>
  collectOutput(spawn(process.execPath, [ENTRY, ...args]))

describe('rillshunt-entry', () => {
  it('validates and prints settings', async (t) => {
    const file = await configFile(GOOD)
    t.like(await run('--config', file, '--check-config'), { code: 0 })
    const printed = await run('--config', file, '--print-config')
    t.regex(printed.out, /\[keeper\]\nhosted = false\nlease = 6000ms/)
  })

  it('refuses wrong settings and options with exit code 2', async (t) => {
    const file = await configFile(GOOD.replace('127.0.0.1:1', 'platform:1'))
    const wrong = await run('--config', file)
    t.is(wrong.code, 2)
    t.true(wrong.err.startsWith(`${file}: [platform] url: `))
    t.is((await run()).code, 2)
    t.is((await run('--nope')).code, 2)
  })

  it('starts while the platform is unreachable and stops as planned on SIGTERM', async (t) => {
    const file = await configFile(`${GOOD}[requests]\ndrain_notice = 10ms\n`)
    const child = spawn(process.execPath, [ENTRY, '--config', file])
    const ended = collectOutput(child)
    await new Promise<void>((resolve) => {
      child.stdout!.on('data', (chunk) => String(chunk).includes('RS-1001') && resolve())
    })
    child.kill('SIGTERM')
    const { code, out } = await ended
    t.is(code, 0)
    t.regex(out, /RS-1002[\s\S]*RS-1003/)
  })
})
