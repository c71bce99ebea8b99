/** Time-outs and intervals of store access, in ms of the monotonic clock. */

/**
 * Time without any answer to calls in flight after which the store counts as silent. A store
 * slowed 60 times still answers a read within 0.25 s and a write within 0.5 s.
 */
export const SILENT_MS = 800
/** Shortest time-out of a commit. */
export const MIN_COMMIT_WAIT_MS = 100
/** Longest time-out of a commit, also used before the first answer. */
export const MAX_COMMIT_WAIT_MS = 1500
/**
 * Longest wait of a call for the first probe after a connection broke: several round trips. A
 * single broken connection delays a call by some ms. If the store breaks all connections, no
 * commits are sent whose outcome would be unknown.
 */
export const BROKEN_WAIT_MS = 60
/** Interval between probes of an unusable store; short compared with the 3 s of a caller. */
export const PROBE_MS = 200
/** Time-out of a relayed call: the peer's own wait for the store, plus the round trip to it. */
export const RELAY_TIMEOUT_MS = 1000
/** Time-out of asking a peer whether it reaches the store: many round trips. */
export const PEER_PROBE_TIMEOUT_MS = 500
/** Longest wait of a call for a search for a peer; it then fails, so as not to delay callers. */
export const PEER_SEARCH_WAIT_MS = 150
/** Interval between searches for a peer. */
export const PEER_SEARCH_PAUSE_MS = 400
/**
 * Upper limit of that interval, which doubles after each search without a result, as the store is
 * then out of reach for all nodes. In an outage of 6 s, 92 nodes that each ask six peers every
 * 0.4 s use 79 s of processor time within 8 s, three times what they use before it.
 */
export const PEER_SEARCH_PAUSE_MAX_MS = 1600
/** Longest pause before a relayed read of changes, because peers do not wait for changes. */
export const RELAYED_POLL_MS = 300
/** Interval at which a call checks for a found peer: less than a round trip. */
export const PEER_SEARCH_POLL_MS = 3
