/**
 * Stores drafts and accepts them. An accept is one conditional transaction: it writes
 * `tables/N+1`, moves `head` from N to N+1 and deletes the draft. A draft that still
 * exists was therefore not accepted.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { commit, newOpId } from '../platform/index.js'
import type { Platform, Row, Transaction } from '../platform/index.js'
import { TableError } from '../shared/index.js'
import type { PlatformError } from '../shared/index.js'
import type { CellConflict, CellEdit } from './merge.js'
import { diffTables, mergeDraft } from './merge.js'
import type { AcceptedTable, Draft, Head } from './records.js'
import {
  HEAD_KEY,
  acceptedSchema,
  draftKey,
  draftSchema,
  hashTable,
  headSchema,
  tableKey,
} from './records.js'
import { checkTable } from './schema.js'
import type { CellError, RawTable } from './schema.js'

/** Attempts to merge and accept a draft while other accepts commit first. */
const MAX_ACCEPT_ATTEMPTS = 8
/** Maximum number of accepted tables per read request. */
const TABLES_PER_READ = 50

type StoreError = PlatformError | TableError
type StoreResult<T> = Promise<Result<T, StoreError>>

/** Outcome of an accept. */
export type AcceptOutcome =
  | { kind: 'accepted'; epoch: number; acceptId: string; changes: CellEdit[] }
  | { kind: 'refused'; errors: CellError[]; conflicts: CellConflict[] }
  | { kind: 'nothing' }
  | { kind: 'unknown'; acceptId: string; reason: string }

/** A draft and the accepted table at the time of reading. */
export interface DraftView {
  head: AcceptedTable | undefined
  draft: Draft
  /** Version of the draft's row; 0 when there is none yet. */
  version: number
}

/** Table operations of the command line. */
export interface TableStore {
  /** The accepted table; undefined before the first accept. */
  head(): StoreResult<AcceptedTable | undefined>
  /** Accepted tables, newest first. */
  history(count: number): StoreResult<AcceptedTable[]>
  draft(editor: string): StoreResult<DraftView>
  /** Adds edits to the editor's draft. */
  edit(editor: string, edits: Omit<CellEdit, 'editor'>[]): StoreResult<Draft>
  /** Deletes the editor's draft. */
  discard(editor: string): StoreResult<void>
  /** Merges, checks and accepts the draft. */
  accept(editor: string): StoreResult<AcceptOutcome>
  /** Returns the table that an accept produced; undefined if it did not take effect. */
  findAccept(acceptId: string): StoreResult<AcceptedTable | undefined>
}

/** Creates the store. */
export function createTableStore(platform: Platform): TableStore {
  async function readValue<T>(
    key: string,
    schema: { safeParse(value: unknown): { success: boolean; data?: T | undefined } },
  ): StoreResult<{ value: T; row: Row } | undefined> {
    const rows = await platform.read([key])
    if (rows.isErr()) return err(rows.error)
    const row = rows.value.get(key)
    if (!row) return ok(undefined)
    const checked = schema.safeParse(row.value)
    if (checked.success) return ok({ value: checked.data as T, row })
    const props = { step: 'table.read', peer: key }
    return err(new TableError(`row '${key}' has the wrong shape`, { props }))
  }

  async function readHead(): StoreResult<{ row: Row; table: AcceptedTable } | undefined> {
    const head = await readValue<Head>(HEAD_KEY, headSchema)
    if (head.isErr()) return err(head.error)
    if (!head.value) return ok(undefined)
    const { epoch } = head.value.value
    const table = await readValue<AcceptedTable>(tableKey(epoch), acceptedSchema)
    if (table.isErr()) return err(table.error)
    if (table.value) return ok({ row: head.value.row, table: table.value.value })
    const props = { step: 'table.read', peer: tableKey(epoch) }
    return err(new TableError(`accepted table ${epoch} is missing`, { props }))
  }

  async function readTables(from: number, to: number): StoreResult<AcceptedTable[]> {
    const tables: AcceptedTable[] = []
    for (let start = from; start <= to; start += TABLES_PER_READ) {
      const last = Math.min(to, start + TABLES_PER_READ - 1)
      const keys = Array.from({ length: last - start + 1 }, (_, i) => tableKey(start + i))
      const rows = await platform.read(keys)
      if (rows.isErr()) return err(rows.error)
      for (const key of keys) {
        const checked = acceptedSchema.safeParse(rows.value.get(key)?.value)
        if (checked.success) tables.push(checked.data)
      }
    }
    return ok(tables)
  }

  async function readDraft(editor: string): StoreResult<DraftView> {
    const head = await readHead()
    if (head.isErr()) return err(head.error)
    const found = await readValue<Draft>(draftKey(editor), draftSchema)
    if (found.isErr()) return err(found.error)
    const base = head.value?.table.epoch ?? 0
    const draft = found.value?.value ?? { base, edits: [] }
    const version = found.value?.row.version ?? 0
    return ok({ head: head.value?.table, draft, version })
  }

  async function writeDraft(
    editor: string,
    draft: Draft | null,
    version: number,
  ): StoreResult<void> {
    const write = { key: draftKey(editor), version, value: draft }
    const tx = { opId: newOpId('draft'), writes: [write], guards: [] }
    const outcome = await commit(platform, tx)
    if (outcome.isErr()) return err(outcome.error)
    if (outcome.value.committed) return ok(undefined)
    const props = { step: 'table.draft', peer: draftKey(editor) }
    const reason = `the draft of '${editor}' was changed at the same time; nothing was written`
    return err(new TableError(reason, { props }))
  }

  async function tryAccept(editor: string): StoreResult<AcceptOutcome | 'again'> {
    const view = await readDraft(editor)
    if (view.isErr()) return err(view.error)
    const { draft, version } = view.value
    if (draft.edits.length === 0) return ok({ kind: 'nothing' })
    const headRow = await readHead()
    if (headRow.isErr()) return err(headRow.error)
    const head = headRow.value?.table
    const acceptedSinceBase = await readTables(draft.base + 1, head?.epoch ?? 0)
    if (acceptedSinceBase.isErr()) return err(acceptedSinceBase.error)
    const concurrentEdits = acceptedSinceBase.value.flatMap((each) => each.changes)
    const { merged, conflicts } = mergeDraft(
      head?.raw ?? {},
      draft.edits,
      concurrentEdits,
    )
    const checked = checkTable(merged)
    if (conflicts.length > 0 || checked.isErr()) {
      const errors = checked.isErr() ? checked.error : []
      return ok({ kind: 'refused', errors, conflicts })
    }
    const changes = diffTables(head?.raw ?? {}, merged, editor)
    if (changes.length === 0) {
      const discarded = await writeDraft(editor, null, version)
      return discarded.map(() => ({ kind: 'nothing' as const }))
    }
    const acceptId = newOpId('accept')
    const markedDraft = await writeDraft(
      editor,
      { ...draft, accepting: acceptId },
      version,
    )
    if (markedDraft.isErr()) return err(markedDraft.error)
    const accepted = nextTable(head, merged, changes, editor, acceptId)
    const headVersion = headRow.value?.row.version ?? 0
    return commitAccept(accepted, headVersion, editor, version + 1)
  }

  async function commitAccept(
    table: AcceptedTable,
    headVersion: number,
    editor: string,
    draftVersion: number,
  ): StoreResult<AcceptOutcome | 'again'> {
    const { epoch, acceptId, hash, changes } = table
    const tx: Transaction = {
      opId: acceptId,
      writes: [
        { key: tableKey(epoch), version: 0, value: table },
        { key: HEAD_KEY, version: headVersion, value: { epoch, acceptId, hash } },
        { key: draftKey(editor), version: draftVersion, value: null },
      ],
      guards: [],
    }
    const outcome = await commit(platform, tx)
    if (outcome.isErr() && outcome.error.failure === 'unknown') {
      return ok({ kind: 'unknown', acceptId, reason: outcome.error.message })
    }
    if (outcome.isErr()) return err(outcome.error)
    if (!outcome.value.committed) return ok('again')
    return ok({ kind: 'accepted', epoch, acceptId, changes })
  }

  return {
    async head() {
      const head = await readHead()
      return head.map((found) => found?.table)
    },
    async history(count) {
      const head = await readHead()
      if (head.isErr()) return err(head.error)
      const last = head.value?.table.epoch ?? 0
      const tables = await readTables(Math.max(1, last - count + 1), last)
      return tables.map((list) => list.reverse())
    },
    draft: readDraft,
    async edit(editor, edits) {
      const view = await readDraft(editor)
      if (view.isErr()) return err(view.error)
      const { draft, version } = view.value
      const added = edits.map((edit) => ({ ...edit, editor }))
      const kept = draft.edits.filter(
        (old) => !added.some((edit) => isSameCell(old, edit)),
      )
      const next: Draft = { base: draft.base, edits: [...kept, ...added] }
      const written = await writeDraft(editor, next, version)
      return written.map(() => next)
    },
    async discard(editor) {
      const view = await readDraft(editor)
      if (view.isErr()) return err(view.error)
      if (view.value.version === 0) return ok(undefined)
      return writeDraft(editor, null, view.value.version)
    },
    async accept(editor) {
      for (let attempt = 0; attempt < MAX_ACCEPT_ATTEMPTS; attempt++) {
        const outcome = await tryAccept(editor)
        if (outcome.isErr()) return err(outcome.error)
        if (outcome.value !== 'again') return ok(outcome.value)
      }
      const props = { step: 'table.accept' }
      return err(
        new TableError(
          'other changes were committed first in every attempt; nothing was accepted',
          { props },
        ),
      )
    },
    async findAccept(acceptId) {
      const head = await readHead()
      if (head.isErr()) return err(head.error)
      const tables = await readTables(1, head.value?.table.epoch ?? 0)
      return tables.map((list) => list.find((each) => each.acceptId === acceptId))
    },
  }
}

function isSameCell(a: { row: string; column: string }, b: CellEdit): boolean {
  return a.row === b.row && a.column === b.column
}

function nextTable(
  head: AcceptedTable | undefined,
  raw: RawTable,
  changes: CellEdit[],
  editor: string,
  acceptId: string,
): AcceptedTable {
  const epoch = (head?.epoch ?? 0) + 1
  const hash = hashTable(epoch, raw)
  return { epoch, acceptId, hash, editor, at: new Date().toISOString(), raw, changes }
}
