/** Nested `describe` blocks over ava, which has none: titles are joined. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

const titles: string[] = []

/** Groups tests under a title. */
export function describe(title: string, body: () => void): void {
  titles.push(title)
  body()
  titles.pop()
}

/** One test; its full title is that of all groups around it and its own. */
export function it(
  title: string,
  body: (t: ExecutionContext) => void | Promise<void>,
): void {
  test([...titles, title].join(' › '), body)
}

/** As {@link it}, for tests that must not run beside others of the file. */
export function itAlone(
  title: string,
  body: (t: ExecutionContext) => void | Promise<void>,
): void {
  test.serial([...titles, title].join(' › '), body)
}
