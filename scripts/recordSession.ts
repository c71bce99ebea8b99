/**
 * Runs the commands of docs/getting-started.md against the playground and writes them,
 * with their output, between the page's markers.
 */
import { spawn } from 'node:child_process'
import { readFile, writeFile } from 'node:fs/promises'

const PAGE = 'docs/getting-started.md'
const BEGIN = '<!-- session begins -->'
const END = '<!-- session ends -->'
const PLATFORM = 'http://127.0.0.1:7000'
const ENTRY = 'http://127.0.0.1:7110'

const RILLSHUNT = 'npx rillshunt'
const LOAD = `npm run -s load -- --url ${ENTRY} --url http://127.0.0.1:7210 --platform ${PLATFORM} --rate 100 --seconds 25`

/** A command, run in the foreground or in the background of the following ones. */
interface Step {
  command: string
  isBackground?: boolean
  /** Repeats the command until its output matches. */
  until?: RegExp
}

const STEPS: Step[] = [
  { command: `curl -si ${ENTRY}/timing/rank/1` },
  { command: `${RILLSHUNT} table show` },
  { command: LOAD, isBackground: true },
  { command: `${RILLSHUNT} table set service/timing limit 48` },
  { command: `${RILLSHUNT} table accept` },
  { command: `${RILLSHUNT} table status`, until: /oslo-1 +2 [\s\S]*oslo-2 +2 / },
  { command: `${RILLSHUNT} table set wave/kernel weight 1 limit 1 pool ranking` },
  { command: `${RILLSHUNT} table accept` },
  { command: `${RILLSHUNT} waves`, until: /oslo-1 .*finished\n.*oslo-2 .*finished/ },
  { command: `${RILLSHUNT} explain wave kernel` },
]

const env = { ...process.env, RILLSHUNT_PLATFORM: PLATFORM, RILLSHUNT_EDITOR: 'ana' }

function run(command: string): Promise<string> {
  return new Promise((resolve) => {
    const child = spawn('bash', ['-c', command], { env })
    let out = ''
    child.stdout.on('data', (chunk) => (out += chunk))
    child.stderr.on('data', (chunk) => (out += chunk))
    child.on('close', () => resolve(out.replaceAll('\r', '').trimEnd()))
  })
}

async function runUntil(step: Step): Promise<{ out: string; ms: number }> {
  const startedAt = performance.now()
  for (;;) {
    const out = await run(step.command)
    const ms = performance.now() - startedAt
    if (!step.until || step.until.test(out)) return { out, ms }
  }
}

async function record(): Promise<string> {
  const lines: string[] = []
  let backgroundOutput: Promise<string> = Promise.resolve('')
  for (const step of STEPS) {
    if (step.isBackground) {
      backgroundOutput = run(step.command)
      lines.push(`$ ${step.command} &`, '')
      continue
    }
    const { out, ms } = await runUntil(step)
    const note = step.until
      ? `# asked until it was so: ${(ms / 1000).toFixed(1)} s`
      : undefined
    lines.push(...(note ? [note] : []), `$ ${step.command}`, out, '')
  }
  lines.push('# the load in the background has ended:', await backgroundOutput)
  return lines.join('\n')
}

const playground = spawn(process.execPath, ['dist/playground/main.js'])
await new Promise<void>((resolve) => {
  playground.stdout.on('data', (chunk) => String(chunk).includes('Try, in') && resolve())
})
const session = await record()
playground.kill('SIGINT')
const page = await readFile(PAGE, 'utf8')
const [head] = page.split(BEGIN)
const tail = page.split(END)[1]
await writeFile(
  PAGE,
  `${head}${BEGIN}\n\n\`\`\`text\n${session}\n\`\`\`\n\n${END}${tail}`,
)
