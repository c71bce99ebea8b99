import { readFileSync } from 'node:fs'
import { describe, it } from '../../test/describe.js'

/** Flags of the program in the deploy file. */
const deployedFlags = (): string[] =>
  /^run = "node ((?:--\S+ )*)target/m
    .exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
    ?.trim()
    .split(' ') ?? []

describe('compiled code of the bundle', () => {
  // V8 refuses code that was compiled under other flags, and each start compiles anew.
  it('is made under the flags of the deployed program', (t) => {
    const list = /const V8_FLAGS = (\[[^\]]*\])/.exec(
      readFileSync('scripts/bundle.mjs', 'utf8'),
    )
    t.true(deployedFlags().length > 0)
    t.deepEqual(JSON.parse((list?.[1] ?? '').replaceAll("'", '"')), deployedFlags())
  })
})
