import { featuresOf } from '../features.js'
import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { describe, it } from '../../../test/describe.js'
import {
  allowedKeys,
  parseConfig,
  parseNodeConfig,
  printConfig,
  unknownContracts,
} from '../index.js'
import { nodeConfigSchema } from '../nodeSchema.js'
import { configSchema } from '../schema.js'

const GOOD = `
[node]
id = oslo-1-e1
hall = oslo-1
[platform]
url = http://10.0.0.1:7000
[peers]
oslo-1-e2 = oslo-1 10.1.0.2:7082
oslo-1-k1 = oslo-1 [fd00::1]:7082 keeper
`

const errorOf = (text: string) => parseConfig(text, 'e.ini')._unsafeUnwrapErr().message

describe('parseConfig', () => {
  it('fills in defaults and parses units', (t) => {
    const cfg = parseConfig(
      `${GOOD}[requests]\ndeadline = 2m\nbuffer_body = 1KiB\n`,
    )._unsafeUnwrap()
    t.is(cfg.requests.deadline, 120_000)
    t.is(cfg.requests.buffer_body, 1024)
    t.is(cfg.platform.poll, 1000)
    t.is(cfg.peers['oslo-1-k1']?.role, 'keeper')
  })

  describe('errors name file, section, key and what is allowed', () => {
    const cases: [string, string, RegExp][] = [
      [
        'an unknown key',
        `${GOOD}[keeper]\nlese = 5s`,
        /^e\.ini: \[keeper\] lese: unknown key; allowed: hosted, lease/,
      ],
      [
        'an unknown section',
        `${GOOD}[nodes]\nid = x`,
        /^e\.ini: unknown section \[nodes\]; allowed: node/,
      ],
      [
        'a wrong unit',
        `${GOOD}[keeper]\nlease = 5 parsec`,
        /\[keeper\] lease: '5 parsec' is not a duration with a unit \(ms, s, m, h\)/,
      ],
      [
        'a missing unit',
        `${GOOD}[keeper]\nlease = 5`,
        /\[keeper\] lease: '5' is not a duration/,
      ],
      [
        'a host name',
        GOOD.replace('10.0.0.1', 'platform.local'),
        /\[platform\] url: .* by IP number/,
      ],
      [
        'a host name of a peer',
        GOOD.replace('10.1.0.2', 'e2'),
        /\[peers\] oslo-1-e2: .*such as oslo-1 10\.1\.0\.4:7082/,
      ],
      ['a missing key', GOOD.replace('hall = oslo-1', ''), /\[node\] hall: is required/],
      [
        'a key before any section',
        `id = x\n${GOOD}`,
        /key 'id' stands before any section/,
      ],
      [
        'a number out of bounds',
        `${GOOD}[listen]\nport = 70000`,
        /\[listen\] port: '70000' is not a whole number from 0 to 65535/,
      ],
    ]
    for (const [what, text, expected] of cases) {
      it(what, (t) => {
        t.regex(errorOf(text), expected)
        t.is(errorOf(text).split('\n').length, 1)
      })
    }
  })

  it('never throws on arbitrary text', (t) => {
    const word = fc.constantFrom(
      '[',
      ']',
      '=',
      '\n',
      'node',
      'id',
      '__proto__',
      'peers',
      '10ms',
      '[]',
    )
    const text = fc.array(fc.oneof(word, fc.string())).map((parts) => parts.join(''))
    fc.assert(fc.property(text, (ini) => typeof parseConfig(ini).isOk() === 'boolean'))
    t.pass()
  })
})

describe('printConfig', () => {
  it('prints settings that parse back to the same values', (t) => {
    const cfg = parseConfig(GOOD)._unsafeUnwrap()
    t.deepEqual(parseConfig(printConfig(cfg))._unsafeUnwrap(), cfg)
  })
})

describe('docs/config.md', () => {
  it('describes every key of every section', (t) => {
    const page = readFileSync('docs/config.md', 'utf8')
    for (const section of Object.keys(configSchema.shape)) {
      t.true(page.includes(`## [${section}]`), section)
      const part = page.split(`## [${section}]`)[1]!.split('\n## ')[0]!
      const listed = [...part.matchAll(/^\| `(\w+)` +\|/gm)].map(([, key]) => key!)
      t.deepEqual(listed.sort(), allowedKeys(section).sort(), section)
    }
  })
})

const NODE = `
[node]
id = n1
hall = h1
[listen]
address = 10.0.0.1
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
[store]
address = 10.0.0.2:90
[cloud]
address =
`

describe('parseNodeConfig', () => {
  it('fills in defaults and treats a key without a value as absent', (t) => {
    const { cfg } = parseNodeConfig(NODE)._unsafeUnwrap()
    t.is(cfg.listen.node_port, 7060)
    t.is(cfg.cloud.address, undefined)
    t.is(cfg.targets.orders, 'call')
  })

  const cases: [change: [string, string], message: RegExp][] = [
    [
      ['[cloud]', '[targets]\norders = heartbeat\n[cloud]'],
      /\[targets\] orders: only 'call'/,
    ],
    [
      ['address = 10.0.0.2:90', 'address = 10.0.0.2:90\nform = log'],
      /\[store\] form: only/,
    ],
    [['10.0.0.2:90', 'store.example:90'], /\[store\] address: 'store.example:90' is not/],
    [['id = n1', ''], /\[node\] id: is required/],
    [['id = n1', 'id = n 1'], /\[node\] id: 'n 1' is not/],
  ]
  for (const [[from, to], message] of cases) {
    it(`names the section and key of the mistake in '${to.replaceAll('\n', ' ')}'`, (t) => {
      const res = parseNodeConfig(NODE.replace(from, to), 'f.ini')
      t.regex(res._unsafeUnwrapErr().message, message)
      t.regex(res._unsafeUnwrapErr().message, /^f\.ini: /)
    })
  }
})

describe('parseNodeConfig with unsupported settings', () => {
  const cases: [change: [string, string], ignored: RegExp][] = [
    [['hall = h1', 'hall = h1\nhal = h2'], /^\[node\] hal: unknown key$/],
    [['[cloud]', '[lanes]\ncount = 2\n[cloud]'], /^\[lanes\]: unknown section$/],
    [['[node]', 'depth = 1\n[node]'], /^depth: stands before any section$/],
    [
      ['[cloud]', '[contracts]\nin_force = base,,sched\n[cloud]'],
      /^\[contracts\] in_force: 'base,,sched' is not a list/,
    ],
    [['hall = h1', 'hall = h1\ncpu_share = half'], /^\[node\] cpu_share: 'half' is not/],
    [['[cloud]', '[log]\nlevel = loud\n[cloud]'], /^\[log\] level: /],
  ]
  for (const [[from, to], expected] of cases) {
    it(`reports and ignores the unsupported part, and uses the rest, of '${to.replaceAll('\n', ' ')}'`, (t) => {
      const { cfg, ignored } = parseNodeConfig(NODE.replace(from, to))._unsafeUnwrap()
      t.is(ignored.length, 1)
      t.regex(ignored[0]!, expected)
      t.deepEqual(cfg, parseNodeConfig(NODE)._unsafeUnwrap().cfg)
    })
  }

  it('accepts names in the form that the platform gives them', (t) => {
    const text = NODE.replace('id = n1', 'id = entry_7.hall-a').replace('h1', 'h_1')
    const { cfg, ignored } = parseNodeConfig(text)._unsafeUnwrap()
    t.deepEqual([cfg.node.id, cfg.node.hall], ['entry_7.hall-a', 'h_1'])
    t.deepEqual(ignored, [])
  })
})

describe('unknownContracts', () => {
  const unknownOf = (list: string): string[] => {
    const text = NODE.replace('[cloud]', `[contracts]\nin_force = ${list}\n[cloud]`)
    return unknownContracts(parseNodeConfig(text)._unsafeUnwrap().cfg)
  }

  it('returns nothing for the known contracts, with or without health', (t) => {
    const small = 'base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing'
    t.deepEqual(unknownOf(small), [])
    t.deepEqual(unknownOf(small.replace('sched', 'health,sched')), [])
  })

  it('names contracts that this version does not implement', (t) => {
    t.deepEqual(unknownOf('base,magic,sched'), ['magic'])
  })
})

describe('featuresOf', () => {
  const featuresWith = (sections: string): string[] => {
    const text = NODE.replace('[cloud]', `${sections}\n[cloud]`)
    return [...featuresOf(parseNodeConfig(text)._unsafeUnwrap().cfg)].sort()
  }

  it('enables nothing where no contract calls for it', (t) => {
    t.deepEqual(featuresWith(''), [])
    t.deepEqual(featuresWith('[contracts]\nin_force = base,sched,tenants,quota'), [])
  })

  it('enables what the contracts in force call for', (t) => {
    t.deepEqual(featuresWith('[contracts]\nin_force = base,places'), ['speculation'])
    t.deepEqual(featuresWith('[contracts]\nin_force = base,pressure'), [
      'admission',
      'speculation',
      'weightedShares',
    ])
  })

  it('lets the settings replace what the contracts call for', (t) => {
    const pressure = '[contracts]\nin_force = base,pressure\n'
    t.deepEqual(featuresWith(`${pressure}[features]\nenabled = none`), [])
    t.deepEqual(featuresWith('[features]\nenabled = admission'), ['admission'])
  })

  it('ignores an unknown feature and keeps what the contracts call for', (t) => {
    const places = '[contracts]\nin_force = base,places\n'
    t.deepEqual(featuresWith(`${places}[features]\nenabled = magic`), ['speculation'])
  })
})

describe('docs/node-config.md', () => {
  it('describes every key of every section', (t) => {
    const page = readFileSync('docs/node-config.md', 'utf8')
    for (const section of Object.keys(nodeConfigSchema.shape)) {
      const part = page.split(`## [${section}]`)[1]?.split('\n## ')[0] ?? ''
      const listed = [...part.matchAll(/^\| `(\w+)` +\|/gm)].map(([, key]) => key!)
      t.deepEqual(listed.sort(), allowedKeys(section, nodeConfigSchema).sort(), section)
    }
  })
})
