/** Fills a settings template as the deployment page describes it, as far as this project uses it. */

const lookUp = (name, scopes) => {
  for (const scope of scopes) {
    let value = scope
    for (const part of name.split('.')) value = value?.[part]
    if (value !== undefined) return value
  }
  return undefined
}

const toText = (value) => {
  if (value === undefined || value === null) return ''
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

const entriesOf = (value) => {
  if (Array.isArray(value)) return value.map((each, index) => [index, each])
  if (value && typeof value === 'object') return Object.entries(value)
  return value ? [['', value]] : []
}

/** Replaces all gaps of the text; names are sought in the innermost scope first. */
export function fillTemplate(text, scopes) {
  const sections = text.replace(/{{#([\w.]+)}}(.*?){{\/\1}}/gs, (_, name, body) => {
    const entries = entriesOf(lookUp(name, scopes))
    return entries
      .map(([key, value], index) => {
        const separator = index < entries.length - 1 ? ',' : ''
        const own = body.replaceAll('{{@}}', key).replaceAll('{{,}}', separator)
        return fillTemplate(own.replaceAll('{{.}}', toText(value)), [value, ...scopes])
      })
      .join('')
  })
  return sections.replace(/{{([\w.]+)}}/g, (_, name) => toText(lookUp(name, scopes)))
}
