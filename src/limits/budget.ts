/**
 * Divides the memory and the descriptors of the process between its endpoints. What is not divided
 * is the reserve for the process's own work: store, targets, peers, leases.
 */

/** Part of the heap that the jobs of the owners on this node can take. */
const JOBS_HEAP_SHARE = 0.3

/** Memory that the jobs of all owners on a node can take, by the limit of its heap in bytes. */
export const maxJobBytes = (heapBytes: number): number =>
  Math.floor(heapBytes * JOBS_HEAP_SHARE)

/** Limits of the VM, from the settings. */
export interface VmLimits {
  memory_mb: number
  file_descriptors: number
}

/** Endpoints at which clients connect. */
export type Endpoint = 'callers' | 'nodes' | 'readiness' | 'metrics'

/** What the clients of one endpoint can take. */
export interface EndpointLimits {
  /** Open connections. */
  connections: number
  /** Requests that have begun and are not answered, over all connections. */
  requests: number
  /** Bytes of requests that are not answered, over all connections. */
  heldBytes: number
  /** Bytes of answers that clients have not taken, over all connections. */
  unreadBytes: number
}

const MB = 1024 * 1024
/** Part of the memory that clients can take. */
const MEMORY_SHARE = 0.15
/** Part of the descriptors that connections of clients can take. */
const DESCRIPTOR_SHARE = 0.5
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200
/** Memory of an open connection besides the bytes in it, in bytes. */
const CONNECTION_BYTES = 16 * 1024
/** Memory of a request in progress besides its bytes, in bytes. */
const REQUEST_BYTES = 32 * 1024
/** Fewest descriptors that are divided between the endpoints. */
const MIN_DESCRIPTORS = 64

/** Parts of an endpoint's memory, by what it is used for. */
const USES = { connections: 0.3, requests: 0.3, held: 0.25, unread: 0.15 }

interface EndpointShare {
  /** Part of the memory and the descriptors of all clients. */
  share: number
  /** Fewest bytes of requests: those of a few of the largest ones. */
  minHeldBytes: number
  /** Connections and requests that the endpoint has on every VM, as far as descriptors allow. */
  least: number
  /** Most connections and requests that the endpoint can use. */
  most: number
}

const SHARES: Record<Endpoint, EndpointShare> = {
  callers: { share: 0.7, minHeldBytes: 4 * MB, least: 0, most: Infinity },
  // An owner has a few connections of each other node, and the largest message is 8 MiB.
  nodes: { share: 0.2, minHeldBytes: 10 * MB, least: 512, most: 1024 },
  readiness: { share: 0.05, minHeldBytes: 64 * 1024, least: 0, most: 32 },
  metrics: { share: 0.05, minHeldBytes: 64 * 1024, least: 0, most: 16 },
}

/** Returns what the clients of an endpoint can take. */
export function limitsOf(endpoint: Endpoint, vm: VmLimits): EndpointLimits {
  const { share, minHeldBytes, least, most } = SHARES[endpoint]
  const bytes = vm.memory_mb * MB * MEMORY_SHARE * share
  const free = Math.max(MIN_DESCRIPTORS, vm.file_descriptors - FILE_DESCRIPTORS)
  const descriptors = free * DESCRIPTOR_SHARE * share
  const connections = Math.min(
    most,
    descriptors,
    Math.max(least, (bytes * USES.connections) / CONNECTION_BYTES),
  )
  return {
    connections: Math.ceil(connections),
    requests: Math.ceil(
      Math.min(most, Math.max(least, (bytes * USES.requests) / REQUEST_BYTES)),
    ),
    heldBytes: Math.max(minHeldBytes, Math.floor(bytes * USES.held)),
    unreadBytes: Math.floor(bytes * USES.unread),
  }
}
