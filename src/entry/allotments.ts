/**
 * A service's limit over all entries without a shared counter. Each entry owns a fixed
 * part; parts add up to the limit. An entry lends what it does not need to one that
 * does. Messages carry running totals, so that loss, delay, repetition and another order
 * only ever lower the sum of what may be used.
 *
 * The lender stops using a token before it says so (`granted` grows first); the borrower
 * stops using it before it gives it back (`returned` grows first).
 */
import { partOfLimit } from './limiter.js'

/** Part of an entry's own tokens that may be lent out. */
const LENDABLE_SHARE = 0.75
/** Part of its tokens in use above which an entry asks for more. */
const BORROW_ABOVE_USAGE = 0.8
/** Steps without need after which borrowed tokens go back. */
const RETURN_AFTER_IDLE_STEPS = 5

/** Totals about one service between two lives of two entries. */
export interface LoanLine {
  service: string
  /** Tokens that the sender has ever lent to the receiver. */
  granted: number
  /** Tokens that the sender has ever given back to the receiver. */
  returned: number
  /** The receiver's tokens, lent in an earlier life of it, that the sender still uses. */
  legacy: number
  /** Tokens that the sender could use more. */
  wants: number
  /** Tokens that the sender wants back, since its part shrank below what it lent. */
  recall: number
}

/** What one entry says to another about loans. */
export interface LoanMessage {
  /** Life of the sender: a number that grows with each start of it. */
  life: number
  /** Life of the receiver that the totals are about; 0 when unknown. */
  peerLife: number
  lines: LoanLine[]
}

/** Allotments of one entry. */
export interface Allotments {
  /** Requests that this entry may have in flight for the service now. */
  usable(service: string): number
  /** Lends, asks and gives back; call it before messages are made. */
  step(): void
  messageFor(peer: string): LoanMessage
  receive(peer: string, message: LoanMessage): void
}

/** Options of {@link createAllotments}. */
export interface AllotmentsOptions {
  own: string
  /** Time of the start; told apart from earlier lives, and raised if one was later. */
  life: number
  /** Ids of all entries of all halls. */
  entries: readonly string[]
  services(): Iterable<string>
  /** The service's limit in force. */
  limitOf(service: string): number
  inFlight(service: string): number
  queued(service: string): number
  /** Whether the entry is certainly gone, so that it holds none of our tokens. */
  isGone(entry: string): boolean
}

interface Account {
  granted: number
  grantedSeen: number
  returned: number
  returnedSeen: number
  /** Our tokens of an earlier life that the peer still uses. */
  theirLegacy: number
  /** Their tokens of an earlier life that we had when it ended. */
  legacy: number
  theirWants: number
  theirRecall: number
}

interface PeerState {
  id: string
  /** Its latest known life; what earlier ones still say is of no account. */
  life: number
  /** It has spoken about our present life, so its `legacy` is known. */
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

/** Creates the allotments of a fresh life. */
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
  /** Borrowed tokens that are wanted back; nothing new is admitted on them. */
  const frozen = (service: string) =>
    sum(service, (a) => Math.min(a.theirRecall, a.grantedSeen - a.returned))

  /** Our tokens that may be in use from an earlier life of ours. */
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

  /** Tokens that could be used more than now. */
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

  /** Tokens of earlier lives of lenders that our requests still hold. */
  function legacyOf(service: string, account: Account): number {
    const over = Math.max(0, opts.inFlight(service) - usable(service))
    account.legacy = Math.min(account.legacy, over)
    return account.legacy
  }

  /** Tokens lent beyond what a smaller limit leaves us. */
  const shortfall = (service: string) => Math.max(0, lent(service) - ownPart(service))

  function startPeerLife(peer: PeerState, nextLife: number): void {
    peer.life = nextLife
    peer.isSynced = false
    for (const [service, account] of peer.accounts) {
      const legacy = account.legacy + account.grantedSeen - account.returned
      // What its earlier life had borrowed from us ended with it.
      peer.accounts.set(service, { ...newAccount(), legacy })
    }
  }

  /** A life of this entry is known that seems to be later than this one. */
  function noteLaterLife(laterLife: number): void {
    const isFresh = [...peers.values()].every((peer) => !peer.isSynced)
    // A fresh process whose clock is behind its predecessor's; or one that was replaced.
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
      // Totals about another life of ours say nothing about this one.
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
