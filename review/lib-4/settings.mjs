/** Reads the deploy file, and fills in the template of the settings as DEPLOY.md describes it. */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = fileURLToPath(new URL('../..', import.meta.url))

/** The command of the only role, and the template of its settings. */
export function readDeployFile() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const valueOf = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1]
  const template = readFileSync(join(root, valueOf('template')), 'utf8')
  return { command: valueOf('run').split(' '), template }
}

function find(scopes, path) {
  for (const { value } of [...scopes].reverse()) {
    const found = path.split('.').reduce((part, name) => part?.[name], value)
    if (found !== undefined) return found
  }
  return undefined
}

function valueOf(scopes, name) {
  const { value, key, isLast } = scopes.at(-1)
  if (name === '.') return value
  if (name === '@') return key
  if (name === ',') return isLast ? '' : ','
  return find(scopes, name)
}

function toText(value) {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function fillPart(text, scopes) {
  const gap = /\{\{([#^]?)([^}]*)\}\}/.exec(text)
  if (!gap) return text
  const [whole, kind, name] = gap
  const before = text.slice(0, gap.index)
  const after = text.slice(gap.index + whole.length)
  const value = valueOf(scopes, name)
  if (kind === '') return before + toText(value) + fillPart(after, scopes)
  const end = `{{/${name}}}`
  const inner = after.slice(0, after.indexOf(end))
  const rest = fillPart(after.slice(after.indexOf(end) + end.length), scopes)
  const isGiven = value !== undefined && value !== null && value !== false
  if (kind === '^') return before + (isGiven ? '' : fillPart(inner, scopes)) + rest
  if (!isGiven) return before + rest
  if (typeof value !== 'object') return before + fillPart(inner, scopes) + rest
  const entries = Object.entries(value)
  const filled = entries.map(([key, each], index) =>
    fillPart(inner, [
      ...scopes,
      { value: each, key, isLast: index === entries.length - 1 },
    ]),
  )
  return before + filled.join('') + rest
}

/** Fills in the gaps of a template. */
export const fillTemplate = (text, settings) => fillPart(text, [{ value: settings }])
