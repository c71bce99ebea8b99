/** Messages between rillshunt's own processes. */
export * from './network.js'
export type { LeavingVm, NodeReport, ServiceLoad } from './gen/peer_pb.js'
