import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import type { ExecutionContext } from 'ava'
import { describe, it } from '../../../test/describe.js'
import { startStandIn } from '../../../test/standIn.js'
import { createCli } from '../index.js'

async function setUp(t: ExecutionContext) {
  const { standIn } = await startStandIn(t)

  async function run(
    ...args: string[]
  ): Promise<{ code: number; out: string; err: string }> {
    const stdout = new PassThrough()
    const stderr = new PassThrough()
    const options = ['--platform', standIn.url, '--editor', 'ana']
    const code = await createCli().run([...args, ...options], { stdout, stderr })
    return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
  }
  return { run, standIn }
}

describe('rillshunt table', () => {
  it('edits, shows, accepts and lists tables', async (t) => {
    const { run } = await setUp(t)
    t.is((await run('table', 'set', 'pool/p', 'weight', '1', 'limit', '4')).code, 0)
    t.regex((await run('table', 'diff')).out, /pool\/p limit: \(default\) -> '4'/)
    t.regex((await run('table', 'accept')).out, /accepted as epoch 1/)
    t.regex(
      (await run('table', 'show')).out,
      /epoch 1\n\npool {2}weight {2}limit\np {5}1 {7}4/,
    )
    t.regex((await run('table', 'history')).out, /1 {6}ana/)
    t.regex((await run('table', 'status')).out, /accepted epoch: 1/)
  })

  it('prints JSON with --json', async (t) => {
    const { run } = await setUp(t)
    await run('table', 'set', 'pool/p', 'weight', '1', 'limit', '4')
    t.like(JSON.parse((await run('table', 'accept', '--json')).out), {
      kind: 'accepted',
      epoch: 1,
    })
    t.deepEqual(JSON.parse((await run('table', 'show', '--json')).out), {
      epoch: 1,
      table: { 'pool/p': { weight: '1', limit: '4' } },
    })
  })

  it('refuses an invalid table with exit code 3 and names every invalid cell', async (t) => {
    const { run, standIn } = await setUp(t)
    await run('table', 'set', 'pool/p', 'weight', 'x', 'limit', '4.5')
    const { code, out } = await run('table', 'accept')
    t.is(code, 3)
    t.regex(out, /pool\/p weight: 'x' must be a number from 0 to 1000/)
    t.regex(out, /pool\/p limit: '4\.5' must be a whole number/)
    t.is(standIn.row('head'), undefined)
  })

  it('completes an accept whose replies are lost, and ends with exit code 1 in an outage', async (t) => {
    const { run, standIn } = await setUp(t)
    await run('table', 'set', 'pool/p', 'weight', '1', 'limit', '4')
    standIn.faults.loseReplies = 99
    t.like(await run('table', 'accept'), { code: 0 })
    standIn.faults.outage = true
    const { code, err } = await run('table', 'show', '--json')
    t.is(code, 1)
    t.regex((JSON.parse(err) as { error: string }).error, /503 \(platform\.read at http/)
    standIn.faults.outage = false
    t.like(await run('table', 'find', 'accept-none'), { code: 1 })
  })

  it('refuses invalid arguments with exit code 2 and says what is allowed', async (t) => {
    const { run } = await setUp(t)
    t.like(await run('table', 'set', 'host/x', 'weight', '1'), { code: 2 })
    t.regex(
      (await run('table', 'set', 'pool/p', 'colour', '1')).err,
      /it has weight, limit/,
    )
    t.regex(
      (await run('explain', 'rack', 'x')).err,
      /none of vm, job, wave, pool, service/,
    )
  })

  it('imports its own export, and names the line of a mistake', async (t) => {
    const { run } = await setUp(t)
    const file = join(await mkdtemp(join(tmpdir(), 'rillshunt-')), 'table.csv')
    await run('table', 'set', 'pool/p', 'weight', '1', 'limit', '4')
    await run('table', 'accept')
    await run('table', 'export', file)
    t.regex(await readFile(file, 'utf8'), /^kind,name,weight,limit/)
    t.regex((await run('table', 'import', file)).out, /0 edited cells/)
    await writeFile(file, 'kind,name,weight\npool,p,1\npool,p,2\n')
    const { code, err } = await run('table', 'import', file)
    t.is(code, 3)
    t.regex(err, /table\.csv: line 3: 'pool\/p' stands twice/)
  })
})
