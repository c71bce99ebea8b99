/** Nodes with limited processor time: an owner, and others that own nothing. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { createLimitedProcessor } from '../playground/sim/limitedProcessor.js'
import type { LimitedProcessor } from '../playground/sim/limitedProcessor.js'
import { createSlowOrders } from '../playground/sim/slowOrders.js'
import type { CallCosts } from '../playground/sim/slowOrders.js'
import { createFreezer, withFreezer } from './frozenOrders.js'
import type { Freezer } from './frozenOrders.js'
import {
  CHOICE_INTERVAL_MS,
  MESSAGE_TIMEOUT_MS,
  createForwardServer,
  createForwardedOrders,
  createForwarder,
  createForwarderChoice,
} from '../src/forwarding/index.js'
import type { ForwardClient, ForwardRequest, Forwarder } from '../src/forwarding/index.js'
import type { OrderError, TargetOrders } from '../src/ports/index.js'
import {
  callError,
  createMemoryLogger,
  createStopController,
  sleep,
} from '../src/shared/index.js'
import type { Logger } from '../src/shared/index.js'

/** Processor time of a message between two nodes, for each of them, in ms. */
const MESSAGE_MS = 1
/** Size of the part of a message that takes as long again, in characters. */
const CHARS_PER_MS = 10_000

/** Faults of a node. */
export interface NodeFaults {
  /** The process has ended: connections to it are refused, and nothing is called for owners. */
  isDown: boolean
  /** Messages to it get no answer, but their calls are made. */
  isMute: boolean
  /** Time by which each message to it is late, in ms. */
  lateMs: number
  /** It runs an earlier build, which forwards nothing. */
  isEarlierBuild: boolean
  /** It does not reach the targets. */
  isCutOff: boolean
  /** Targets that it does not reach, by id. */
  cutOffFrom: ReadonlySet<string>
}

const NO_FAULTS: NodeFaults = {
  isDown: false,
  isMute: false,
  lateMs: 0,
  isEarlierBuild: false,
  isCutOff: false,
  cutOffFrom: new Set(),
}

/** Another node than the owner. */
export interface OtherNode {
  address: string
  faults: NodeFaults
  processor: LimitedProcessor
  /** Replaces the process: calls that the earlier one was asked to make are forgotten. */
  restart(): void
  /** Its messages, calls and answers lie there while it is frozen. */
  freezer: Freezer
}

/** The nodes as the owner sees them. */
export interface BusyNodes {
  /** How the owner calls its targets. */
  orders: TargetOrders
  /** Processor of the owner. */
  processor: LimitedProcessor
  others: OtherNode[]
  /** Number of nodes through which targets are called. */
  forwarders(): number
  stop(): void
}

/** Options of {@link createBusyNodes}. */
export interface BusyNodesOptions {
  /** Calls to targets that take no time. */
  orders: TargetOrders
  /** Calls that the owner makes itself; by default the same. */
  direct?: TargetOrders
  /** Processor time of the calls to targets, for the node that makes them. */
  costs: CallCosts
  /** Number of nodes besides the owner. */
  others: number
  /** Processor time of the owner for each start, whichever node makes the call, in ms. */
  bookMs?: number
  /** Processor of the owner, in cores. */
  ownerCores?: number
  /**
   * Share of the owner's processor time from which it calls targets through the others.
   * @default that of the product
   */
  askFromShare?: number
  log?: Logger
}

/** Links on which nothing is answered while the node is cut off from the targets. */
function withCutOff(orders: TargetOrders, faults: NodeFaults): TargetOrders {
  const noAnswer = async (timeoutMs: number): Promise<Result<never, OrderError>> => {
    await sleep(timeoutMs)
    const cause = callError('test', 'target', 'unknown', 'cut off')
    return err({ failure: 'unanswered', reason: 'cut off', cause })
  }
  return {
    open(target) {
      const link = orders.open(target)
      const isCutOff = () => faults.isCutOff || faults.cutOffFrom.has(target.id)
      return {
        start: (order, ms) => (isCutOff() ? noAnswer(ms) : link.start(order, ms)),
        stop: (order, ms) => (isCutOff() ? noAnswer(ms) : link.stop(order, ms)),
        pace: (order, ms) => (isCutOff() ? noAnswer(ms) : link.pace(order, ms)),
        sync: (order, ms) => (isCutOff() ? noAnswer(ms) : link.sync(order, ms)),
        close: () => link.close(),
      }
    },
  }
}

/** Has each start take time of the owner's processor before it is ordered. */
function withBook(
  orders: TargetOrders,
  processor: LimitedProcessor,
  bookMs: number,
): TargetOrders {
  return {
    open(target) {
      const link = orders.open(target)
      return {
        ...link,
        async start(order, ms) {
          await processor.work(bookMs)
          return link.start(order, ms)
        },
      }
    },
  }
}

/** Carries messages to a node; returns its forwarder and a way to stop it. */
function createOtherNode(
  address: string,
  sender: LimitedProcessor,
  opts: BusyNodesOptions,
) {
  const processor = createLimitedProcessor()
  const faults: NodeFaults = { ...NO_FAULTS }
  const freezer = createFreezer()
  const reached = withFreezer(withCutOff(opts.orders, faults), freezer)
  const own = createSlowOrders(reached, opts.costs, processor)
  let server = createForwardServer(own)

  const failed = (reason: string) => err(callError('test', address, 'unknown', reason))

  async function exchange({
    session,
    calls,
  }: ForwardRequest): ReturnType<ForwardClient['send']> {
    await sender.work(MESSAGE_MS + calls.length / CHARS_PER_MS)
    if (faults.isDown) return failed('connection refused')
    if (faults.isEarlierBuild) return failed('unimplemented')
    const called = server
    if (faults.lateMs > 0) await sleep(faults.lateMs)
    await freezer.passed()
    await processor.work(MESSAGE_MS + calls.length / CHARS_PER_MS)
    const { life, answers } = await called.handle(session, calls)
    await freezer.passed()
    if (faults.isMute) await sleep(MESSAGE_TIMEOUT_MS)
    if (called !== server || faults.isDown) return failed('connection reset')
    await sender.work(MESSAGE_MS + answers.length / CHARS_PER_MS)
    return ok({ life, answers, busyShare: processor.share() })
  }

  async function timeOut(): ReturnType<ForwardClient['send']> {
    await sleep(MESSAGE_TIMEOUT_MS)
    return failed('no answer')
  }

  const send: ForwardClient['send'] = (req) => Promise.race([exchange(req), timeOut()])

  const node: OtherNode = {
    address,
    faults,
    processor,
    freezer,
    restart() {
      server.stop()
      server = createForwardServer(own)
    },
  }
  return { node, send, stop: () => server.stop() }
}

/** Creates the nodes, all without work. */
export function createBusyNodes(opts: BusyNodesOptions): BusyNodes {
  const { orders, costs, others, askFromShare, log = createMemoryLogger() } = opts
  const { bookMs = 0, ownerCores } = opts
  const processor = createLimitedProcessor(ownerCores)
  const nodes = Array.from({ length: others }, (_, index) =>
    createOtherNode(`n${index}:1`, processor, opts),
  )
  const forwarders = new Map<string, Forwarder>(
    nodes.map(({ node: { address }, send }) => [
      address,
      createForwarder({ address, send, ownShare: processor.share, log }),
    ]),
  )
  const choice = createForwarderChoice({
    busyShare: processor.share,
    candidates: () =>
      nodes.map(({ node: { address } }) => ({ address, room: 1, owned: 0 })),
    connect: (address) => forwarders.get(address)!,
    salt: '',
    log,
    ...(askFromShare !== undefined && { askFromShare }),
  })
  const stopping = createStopController()
  void keepChoosing()

  async function keepChoosing(): Promise<void> {
    while (!stopping.signal.aborted) {
      choice.update()
      await sleep(CHOICE_INTERVAL_MS, stopping.signal)
    }
  }

  const forwarded = createForwardedOrders({
    direct: createSlowOrders(opts.direct ?? orders, costs, processor),
    choice,
  })
  return {
    orders: withBook(forwarded, processor, bookMs),
    processor,
    others: nodes.map(({ node }) => node),
    forwarders: choice.inUse,
    stop() {
      stopping.abort()
      for (const { stop } of nodes) stop()
    },
  }
}
