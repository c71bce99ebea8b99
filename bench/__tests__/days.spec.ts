import { readdirSync, readFileSync } from 'node:fs'
import { describe, it } from '../../test/describe.js'

const FOLDER = 'deploy/days'
const days = readdirSync(FOLDER).map((file) => ({
  name: file.replace(/\.toml$/, ''),
  text: readFileSync(`${FOLDER}/${file}`, 'utf8'),
}))

describe('deploy/days', () => {
  for (const { name, text } of days) {
    describe(name, () => {
      it('says first what it guards', (t) => {
        t.regex(text, /^# [^]*\bGuards[\s#]+against\b/)
      })

      it('holds one day of its own name', (t) => {
        t.is(text.match(/^\[\[day\]\]$/gm)?.length, 1)
        t.regex(text, new RegExp(`^name = "${name}"$`, 'm'))
      })

      it('speaks of services, queues and data halls in general terms', (t) => {
        const places = [...text.matchAll(/\b(?:service|class|zone|to_zone) = "([^"]*)"/g)]
        for (const [, place] of places) t.regex(place ?? '', /^@[csz]\d$/)
        t.pass()
      })
    })
  }
})
