import { readFileSync } from 'node:fs'
import { describe, it } from '../../test/describe.js'

/** Returns the V8 flags of the program in deploy/system.toml. */
const deployedFlags = (): string[] =>
  /^run = "node ((?:--\S+ )*)target/m
    .exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
    ?.trim()
    .split(' ') ?? []

describe('code cache of the bundle', () => {
  // V8 rejects a code cache of other flags, and each start then compiles the bundle.
  it('is written under the flags of the deployed program', (t) => {
    const list = /const V8_FLAGS = (\[[^\]]*\])/.exec(
      readFileSync('scripts/bundle.mjs', 'utf8'),
    )
    t.true(deployedFlags().length > 0)
    t.deepEqual(JSON.parse((list?.[1] ?? '').replaceAll("'", '"')), deployedFlags())
  })
})
