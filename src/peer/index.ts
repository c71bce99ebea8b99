/** Messages between rillshunt's own processes. */
export * from './network.js'
export type { NodeReport } from './gen/peer_pb.js'
