/** Nested `describe` blocks on top of ava, which has none. The titles are joined with ' › '. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

const titles: string[] = []

/** Prefixes the titles of the tests that `body` registers with `title`. */
export function describe(title: string, body: () => void): void {
  titles.push(title)
  body()
  titles.pop()
}

/** Registers a test. Its full title is that of all enclosing groups followed by its own. */
export function it(
  title: string,
  body: (t: ExecutionContext) => void | Promise<void>,
): void {
  test([...titles, title].join(' › '), body)
}

/** Like {@link it}, for tests that must not run concurrently with others of the same file. */
export function itAlone(
  title: string,
  body: (t: ExecutionContext) => void | Promise<void>,
): void {
  test.serial([...titles, title].join(' › '), body)
}
