/** Messages between rillshunt processes. */
export * from './network.js'
export type { NodeReport } from './gen/peer_pb.js'
