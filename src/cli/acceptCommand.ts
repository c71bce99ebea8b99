/** `rillshunt table accept`: previews, validates and accepts the draft. */
import { Option } from 'clipanion'
import { EXIT } from '../shared/index.js'
import { applyEdits, checkTable } from '../table/index.js'
import type { AcceptOutcome, CellConflict, CellError } from '../table/index.js'
import { PlatformCommand, unwrap, formatCell } from './base.js'
import type { Session } from './base.js'
import { previewTable } from './preview.js'
import type { HallPreview } from './preview.js'

const EXIT_CODES: Record<AcceptOutcome['kind'], number> = {
  accepted: EXIT.ok,
  nothing: EXIT.ok,
  refused: EXIT.refused,
  unknown: EXIT.unknown,
}

/** Text output for each outcome. */
const OUTCOME_TEXTS: {
  [K in AcceptOutcome['kind']]: (outcome: Extract<AcceptOutcome, { kind: K }>) => string
} = {
  accepted: ({ epoch }) => `accepted as epoch ${epoch}`,
  nothing: () => 'the draft changes nothing',
  refused: ({ errors, conflicts }) => describeRefusal(errors, conflicts),
  unknown: ({ acceptId }) =>
    `unknown: the platform did not answer. Ask again with: rillshunt table find ${acceptId}`,
}

/** `table accept` */
export class TableAccept extends PlatformCommand {
  static override paths = [['table', 'accept']]
  static override usage = PlatformCommand.Usage({
    description: 'check the draft and put it in force in every hall',
  })
  dryRun = Option.Boolean('--dry-run', false, {
    description: 'only show what it would do',
  })

  async run(session: Session): Promise<number> {
    const preview = await this.preview(session)
    if (this.dryRun) {
      this.print({ preview }, () => describePreview(preview))
      return EXIT.ok
    }
    const outcome = unwrap(await session.store.accept(session.editor))
    this.print({ ...outcome, preview }, () => {
      const text = (OUTCOME_TEXTS[outcome.kind] as (outcome: AcceptOutcome) => string)(
        outcome,
      )
      return outcome.kind === 'accepted' ? `${text}\n${describePreview(preview)}` : text
    })
    return EXIT_CODES[outcome.kind]
  }

  private async preview({ store, platform, editor }: Session) {
    const { head, draft } = unwrap(await store.draft(editor))
    const checked = checkTable(applyEdits(head?.raw ?? {}, draft.edits))
    return checked.isOk() ? previewTable(platform, checked.value) : undefined
  }
}

function describePreview(preview: HallPreview[] | undefined): string {
  if (!preview) return 'its effects cannot be shown'
  const lines = preview.flatMap((each) => {
    const { hall, vmMoves, jobStarts, jobStops, unplaced, stuckWaves } = each
    const moveLines = vmMoves.map(
      ({ vm, from, to }) => `  VM ${vm} moves from ${from} to ${to}`,
    )
    const unplacedLines = unplaced.map(
      ({ service, reason }) => `  '${service}' lacks room: ${reason}`,
    )
    const stuckLines = stuckWaves.map(
      ({ wave, reason }) => `  wave '${wave}' cannot finish: ${reason}`,
    )
    const summary = `${hall}: ${vmMoves.length} VMs move, ${jobStarts} jobs start, ${jobStops} stop`
    return [summary, ...moveLines, ...unplacedLines, ...stuckLines]
  })
  return lines.join('\n')
}

function describeRefusal(errors: CellError[], conflicts: CellConflict[]): string {
  const errorLines = errors.map(
    ({ row, column, value, rule }) => `${row} ${column}: '${value}' must be ${rule}`,
  )
  const conflictLines = conflicts.map(
    ({ row, column, mine, theirs }) =>
      `${row} ${column}: ${theirs.editor} accepted ${formatCell(theirs.value)}, ` +
      `${mine.editor} wants ${formatCell(mine.value)}`,
  )
  return ['refused; nothing was changed:', ...errorLines, ...conflictLines].join('\n  ')
}
