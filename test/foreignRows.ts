/** Arbitraries for keys and texts that another program may write into rows read by the nodes. */
import fc from 'fast-check'

/** Values that replace the one of a field. */
const fieldValue = fc.oneof(
  fc.constantFrom<unknown>(
    null,
    undefined,
    '',
    0,
    -1,
    1e300,
    [],
    {},
    true,
    'warming',
    '10.0.0.1:0',
    '10.0.0.1:70000',
    'a/b c',
    'x'.repeat(20_000),
  ),
  fc.jsonValue(),
)

/** The text of a row with fields replaced, cut short, or with its first number out of range. */
const alteredRow = (text: string): fc.Arbitrary<string> => {
  const row = JSON.parse(text) as Record<string, unknown>
  const fields = fc.dictionary(fc.constantFrom(...Object.keys(row)), fieldValue, {
    minKeys: 1,
  })
  return fc.oneof(
    fields.map((more) => JSON.stringify({ ...row, ...more })),
    fc.nat({ max: text.length - 1 }).map((length) => text.slice(0, length)),
    fc.constant(text.replace(/\d+/, '1e400')),
  )
}

/** Arbitrary text, or an altered copy of the row whose text is given. */
export const foreignText = (text: string): fc.Arbitrary<string> =>
  fc.oneof(
    fc.string(),
    fc.json(),
    // The store's client decodes invalid UTF-8 to this character.
    fc.constant('\uFFFD'),
    fc.constant('x'.repeat(1 << 20)),
    { arbitrary: alteredRow(text), weight: 4 },
  )

/** Keys that no node writes. */
export const foreignKey: fc.Arbitrary<string> = fc.oneof(
  fc.string({ minLength: 1, maxLength: 60 }),
  fc.constantFrom('a/b', 'a b', 'a\nb', '.', '..', '.cancel', '__proto__', '~fleet', 'ä'),
)
