/** Nodes with limited processor time: an owner, and others that own nothing. */
import { createLimitedProcessor } from '../playground/sim/limitedProcessor.js'
import { createSlowOrders } from '../playground/sim/slowOrders.js'
import type { CallCosts } from '../playground/sim/slowOrders.js'
import type { TargetOrders } from '../src/ports/index.js'

/** The nodes as the owner sees them. */
export interface BusyNodes {
  /** How the owner calls its targets. */
  orders: TargetOrders
  stop(): void
}

/** Creates the nodes; calls to targets take processor time of the node that makes them. */
export function createBusyNodes(opts: {
  /** Calls to targets that take no time. */
  orders: TargetOrders
  costs: CallCosts
  /** Number of nodes besides the owner. */
  others: number
}): BusyNodes {
  const processor = createLimitedProcessor()
  return {
    orders: createSlowOrders(opts.orders, opts.costs, processor),
    stop: () => undefined,
  }
}
