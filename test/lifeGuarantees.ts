/** Guarantees about tasks, checked for each incarnation of a target by itself. */
import type { LedgerEntry, RunLedger } from '../playground/sim/runLedger.js'

type Life = Pick<LedgerEntry, 'target' | 'lifeStartMs'>

/** Tells incarnations of all targets apart. */
export const lifeKey = ({ target, lifeStartMs }: Life): string =>
  `${target}@${lifeStartMs}`

/**
 * Returns a description of the first violation: a run that starts while another run of its task
 * goes on, or after the end `done` of the task was recorded. An end counts as recorded if an owner has
 * acknowledged it, or if its incarnation did not crash. No run outlives its incarnation.
 * @param unreachable incarnations that were unreachable for longer than a lease; the owner may
 *   not know of unacknowledged ends there
 */
export function findLifeViolation(
  { entries, crashes = [] }: RunLedger,
  unreachable: ReadonlySet<string> = new Set(),
): string | undefined {
  const crashed = new Set(crashes.map(lifeKey))
  const active = new Map<string, Set<string>>()
  const done = new Map<string, string>()
  for (const entry of entries) {
    const { what, task, run } = entry
    const life = lifeKey(entry)
    const runs = active.get(task) ?? new Set<string>()
    active.set(task, runs)
    const key = `${run} on ${life}`
    if (what !== 'start') {
      runs.delete(key)
      const isRead = !crashed.has(life) && !unreachable.has(life)
      if (what === 'done' && (entry.isNoted || isRead)) done.set(task, key)
      continue
    }
    const [other] = runs
    if (other !== undefined)
      return `${task} run ${key} started while run ${other} goes on`
    const end = done.get(task)
    if (end !== undefined) return `${task} run ${key} started after run ${end} was done`
    runs.add(key)
  }
  return undefined
}
