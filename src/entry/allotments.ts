/**
 * Divides a service's limit among all entries without a shared counter. Each entry owns a
 * fixed part, and the parts add up to the limit. An entry lends tokens that it does not
 * need to entries that do. Messages carry cumulative totals, so that a lost, delayed,
 * repeated or reordered message can only lower the sum of usable tokens.
 *
 * The lender stops using a token before it announces the loan (`granted` grows first); the
 * borrower stops using it before it announces the return (`returned` grows first).
 */
import { partOfLimit } from './limiter.js'

/** Share of an entry's own tokens that may be lent out. */
const LENDABLE_SHARE = 0.75
/** Share of its usable tokens above which an entry asks for more. */
const BORROW_ABOVE_USAGE = 0.8
/** Steps without demand after which borrowed tokens are returned. */
const RETURN_AFTER_IDLE_STEPS = 5

/** Totals of one service between one life of the sender and one life of the receiver. */
export interface LoanLine {
  service: string
  /** Tokens lent by the sender to the receiver since both lives began. */
  granted: number
  /** Tokens returned by the sender to the receiver since both lives began. */
  returned: number
  /** Tokens lent by an earlier life of the receiver that the sender still uses. */
  legacy: number
  /** Additional tokens that the sender could use. */
  wants: number
  /** Tokens that the sender wants back because its part shrank below what it has lent. */
  recall: number
}

/** Message about loans from one entry to another. */
export interface LoanMessage {
  /** Life of the sender: a number that grows with each start. */
  life: number
  /** Life of the receiver that the totals refer to; 0 when unknown. */
  peerLife: number
  lines: LoanLine[]
}

/** Tokens of one entry, own and borrowed, by service. */
export interface Allotments {
  /** Requests of the service that this entry may have in flight now. */
  usable(service: string): number
  /** Lends and returns tokens; call it before `messageFor`. */
  step(): void
  messageFor(peer: string): LoanMessage
  receive(peer: string, message: LoanMessage): void
}

/** Options of {@link createAllotments}. */
export interface AllotmentsOptions {
  own: string
  /** Time of the start, which identifies this life; raised if an earlier life's is later. */
  life: number
  /** Ids of all entries of all halls. */
  entries: readonly string[]
  services(): Iterable<string>
  /** The service's limit in force. */
  limitOf(service: string): number
  inFlight(service: string): number
  queued(service: string): number
  /** Whether the entry is certainly gone, so that it holds no tokens of this entry. */
  isGone(entry: string): boolean
}

interface Account {
  granted: number
  grantedSeen: number
  returned: number
  returnedSeen: number
  /** Tokens lent by an earlier life of this entry that the peer still uses. */
  theirLegacy: number
  /** Tokens lent by earlier lives of the peer and still held here when those ended. */
  legacy: number
  theirWants: number
  theirRecall: number
}

interface PeerState {
  id: string
  /** Its latest known life; messages of earlier lives are ignored. */
  life: number
  /** Whether its totals about this entry's present life, and so its `legacy`, are known. */
  isSynced: boolean
  accounts: Map<string, Account>
}

const newAccount = (): Account => ({
  granted: 0,
  grantedSeen: 0,
  returned: 0,
  returnedSeen: 0,
  theirLegacy: 0,
  legacy: 0,
  theirWants: 0,
  theirRecall: 0,
})

/** Creates the allotments of a new life. */
export function createAllotments(opts: AllotmentsOptions): Allotments {
  const { own, entries, limitOf } = opts
  const peers = new Map<string, PeerState>()
  const idleSteps = new Map<string, number>()
  let { life } = opts
  let superseded = false
  for (const id of entries) {
    if (id === own) continue
    peers.set(id, { id, life: 0, isSynced: false, accounts: new Map() })
  }

  function accountOf(peer: PeerState, service: string): Account {
    let account = peer.accounts.get(service)
    if (!account) {
      account = newAccount()
      peer.accounts.set(service, account)
    }
    return account
  }

  const ownPart = (service: string) => partOfLimit(limitOf(service), entries, own)
  const lendable = (service: string) => Math.floor(ownPart(service) * LENDABLE_SHARE)

  function sum(service: string, amountOf: (account: Account) => number): number {
    let total = 0
    for (const peer of peers.values()) {
      const account = peer.accounts.get(service)
      if (account) total += amountOf(account)
    }
    return total
  }

  const lent = (service: string) => sum(service, (a) => a.granted - a.returnedSeen)
  const borrowed = (service: string) => sum(service, (a) => a.grantedSeen - a.returned)
  /** Borrowed tokens that their lenders have recalled; no new request may use them. */
  const frozen = (service: string) =>
    sum(service, (a) => Math.min(a.theirRecall, a.grantedSeen - a.returned))

  /** Tokens lent by an earlier life of this entry that peers may still use. */
  function outstanding(service: string): number {
    const known = sum(service, (a) => a.theirLegacy)
    const allSynced = [...peers.values()].every(
      (peer) => peer.isSynced || opts.isGone(peer.id),
    )
    return allSynced ? known : Math.max(known, lendable(service))
  }

  function usable(service: string): number {
    if (superseded) return 0
    const mine = Math.max(0, ownPart(service) - lent(service) - outstanding(service))
    return mine + borrowed(service) - frozen(service)
  }

  /** Additional tokens that this entry could use now. */
  function wants(service: string): number {
    const queued = opts.queued(service)
    const inFlight = opts.inFlight(service)
    const isNearlyFull = inFlight + queued > usable(service) * BORROW_ABOVE_USAGE
    return isNearlyFull
      ? queued + Math.max(1, Math.ceil(inFlight * (1 - BORROW_ABOVE_USAGE)))
      : 0
  }

  const spare = (service: string) =>
    usable(service) - opts.inFlight(service) - opts.queued(service)

  function lend(service: string): void {
    const borrowers = [...peers.values()].filter(
      (peer) => peer.isSynced && (peer.accounts.get(service)?.theirWants ?? 0) > 0,
    )
    if (borrowers.length === 0 || wants(service) > 0) return
    const room = Math.min(
      Math.floor(spare(service) / 2),
      lendable(service) - lent(service) - outstanding(service),
    )
    let left = room
    for (const peer of borrowers) {
      const account = accountOf(peer, service)
      const amount = Math.min(
        left,
        account.theirWants,
        Math.ceil(room / borrowers.length),
      )
      if (amount <= 0) return
      account.granted += amount
      account.theirWants -= amount
      left -= amount
    }
  }

  function giveBack(service: string): void {
    const isIdle = wants(service) === 0
    const steps = isIdle ? (idleSteps.get(service) ?? 0) + 1 : 0
    idleSteps.set(service, steps)
    const unused = usable(service) + frozen(service) - opts.inFlight(service)
    let left = steps < RETURN_AFTER_IDLE_STEPS ? 0 : Math.ceil(spare(service) / 2)
    let free = Math.max(0, unused)
    for (const peer of peers.values()) {
      const account = peer.accounts.get(service)
      if (!account) continue
      const held = account.grantedSeen - account.returned
      const amount = Math.min(held, free, Math.max(left, account.theirRecall))
      if (amount <= 0) continue
      account.returned += amount
      left -= amount
      free -= amount
    }
  }

  /** Tokens lent by earlier lives of the peer that requests in flight here still hold. */
  function legacyOf(service: string, account: Account): number {
    const over = Math.max(0, opts.inFlight(service) - usable(service))
    account.legacy = Math.min(account.legacy, over)
    return account.legacy
  }

  /** Tokens lent beyond the own part after the limit was lowered. */
  const shortfall = (service: string) => Math.max(0, lent(service) - ownPart(service))

  function startPeerLife(peer: PeerState, nextLife: number): void {
    peer.life = nextLife
    peer.isSynced = false
    for (const [service, account] of peer.accounts) {
      const legacy = account.legacy + account.grantedSeen - account.returned
      // Loans to the peer's earlier life ended with that life.
      peer.accounts.set(service, { ...newAccount(), legacy })
    }
  }

  /**
   * Handles a peer's message about a life of this entry that seems later than this one.
   */
  function noteLaterLife(laterLife: number): void {
    const isFresh = [...peers.values()].every((peer) => !peer.isSynced)
    // Either the clock of this new process is behind its predecessor's, or it was
    // replaced.
    if (isFresh) life = laterLife + 1
    else superseded = true
  }

  return {
    usable,
    step() {
      for (const peer of peers.values()) {
        if (peer.isSynced && opts.isGone(peer.id)) startPeerLife(peer, peer.life + 1)
      }
      for (const service of opts.services()) {
        lend(service)
        giveBack(service)
      }
    },
    messageFor(id) {
      const peer = peers.get(id)
      const lines: LoanLine[] = []
      for (const service of peer ? opts.services() : []) {
        const account = accountOf(peer!, service)
        const { granted, returned } = account
        const legacy = legacyOf(service, account)
        const recall = granted > account.returnedSeen ? shortfall(service) : 0
        const line = { service, granted, returned, legacy, wants: wants(service), recall }
        if (granted + returned + legacy + line.wants > 0) lines.push(line)
      }
      return {
        life,
        peerLife: peer?.life ?? 0,
        lines,
      }
    },
    receive(id, message) {
      const peer = peers.get(id)
      if (!peer || message.life < peer.life) return
      if (message.life > peer.life) startPeerLife(peer, message.life)
      if (message.peerLife > life) noteLaterLife(message.peerLife)
      // Totals about another life of this entry do not apply to this one.
      if (message.peerLife !== life) return
      const byService = new Map(message.lines.map((line) => [line.service, line]))
      for (const service of new Set([...byService.keys(), ...peer.accounts.keys()])) {
        const line = byService.get(service)
        const account = accountOf(peer, service)
        account.grantedSeen = Math.max(account.grantedSeen, line?.granted ?? 0)
        account.returnedSeen = Math.max(account.returnedSeen, line?.returned ?? 0)
        account.theirLegacy = line?.legacy ?? 0
        account.theirWants = line?.wants ?? 0
        account.theirRecall = line?.recall ?? 0
      }
      peer.isSynced = true
    },
  }
}
