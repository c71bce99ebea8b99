/** Times of access to the store, in ms on the steady clock. */

/**
 * A store that has answered nothing for so long, with calls under way, counts as silent.
 * Slowed 60 times it still answers a read in 0.25 s and a write in 0.5 s.
 */
export const SILENT_MS = 800
/** The answer to a commit counts as missing after this time at the earliest. */
export const MIN_COMMIT_WAIT_MS = 100
/** The same at the latest, also before the first answer. */
export const MAX_COMMIT_WAIT_MS = 1500
/**
 * A call waits so long for the first probe after a connection broke: several round trips.
 * Connections that break alone cost a call some ms; a store that breaks all of them is not
 * sent what would have to count as perhaps done.
 */
export const BROKEN_WAIT_MS = 60
/** Time between two tries to reach a silent store; small against a caller's 3 s. */
export const PROBE_MS = 200
/** Longest wait for a peer that makes a call for us: its own wait for the store, and the way. */
export const RELAY_TIMEOUT_MS = 1000
/** Longest wait for the first peer to say that it reaches the store: many round trips. */
export const PEER_PROBE_TIMEOUT_MS = 500
/** A call waits so long for a peer to be found, then fails; callers are not held up. */
export const PEER_SEARCH_WAIT_MS = 150
/** Time between two searches for a peer. */
export const PEER_SEARCH_PAUSE_MS = 400
/**
 * The same after searches that found none, each twice the last, up to here: the store is out
 * of reach for all of us. In an outage of 6 s, 92 nodes that asked six peers each every 0.4 s
 * used 79 s of processor time within 8 s, three times what they had used before it.
 */
export const PEER_SEARCH_PAUSE_MAX_MS = 1600
/** A peer does not wait for changes on our behalf; we wait so long before we ask. */
export const RELAYED_POLL_MS = 300
/** Time between two looks whether a peer was found: less than a round trip. */
export const PEER_SEARCH_POLL_MS = 3
