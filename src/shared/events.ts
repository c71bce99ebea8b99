/**
 * The catalogue of numbered log events. `docs/events.md` lists the same events;
 * a test compares the two. Numbers are never reused.
 *
 * 1xxx process, 2xxx routing, 3xxx table, 4xxx platform, 5xxx keeper, 6xxx peers.
 */

/** Severity of an event; `debug` is off unless asked for. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug'

interface EventSpec {
  id: string
  level: EventLevel
  text: string
}

const spec = (id: string, level: EventLevel, text: string): EventSpec => ({
  id,
  level,
  text,
})

/** All events by name. */
export const EVENTS = {
  kernelStarted: spec('RS-1001', 'info', 'all services started'),
  kernelStopping: spec('RS-1002', 'info', 'planned stop begins'),
  kernelStopped: spec('RS-1003', 'info', 'all services stopped'),
  serviceFailed: spec('RS-1004', 'error', 'a service failed to start'),
  serviceStopFailed: spec('RS-1005', 'warn', 'a service failed while stopping'),
  unexpectedError: spec('RS-1006', 'error', 'an error that no step expected'),
  routed: spec('RS-2001', 'info', 'request routed to a target'),
  notRouted: spec('RS-2002', 'info', 'request refused before any byte was sent'),
  attemptFailed: spec('RS-2003', 'warn', 'attempt at a target failed'),
  requestEnded: spec('RS-2004', 'debug', 'request ended'),
  targetAdded: spec('RS-2010', 'info', 'target added to the view'),
  targetRemoved: spec('RS-2011', 'info', 'target removed from the view'),
  targetLeaving: spec('RS-2012', 'info', 'target gets no new work'),
  targetExcluded: spec('RS-2013', 'warn', 'failing target excluded for a while'),
  targetReadmitted: spec('RS-2014', 'info', 'excluded target admitted again'),
  identityMismatch: spec('RS-2015', 'warn', 'an address answers as another VM'),
  epochInForce: spec('RS-3001', 'info', 'accepted table in force'),
  epochIgnored: spec('RS-3002', 'warn', 'an older or unproved table was not applied'),
  tableInvalid: spec('RS-3003', 'error', 'an accepted table does not satisfy the schema'),
  platformDown: spec('RS-4001', 'warn', 'platform cannot be reached'),
  platformBack: spec('RS-4002', 'info', 'platform answers again'),
  rowInvalid: spec('RS-4003', 'error', 'a row or answer has the wrong shape'),
  leaseTaken: spec('RS-5001', 'info', 'lease of the hall taken'),
  leaseLost: spec('RS-5002', 'warn', 'lease of the hall lost'),
  leaseReleased: spec('RS-5003', 'info', 'lease of the hall given up in a planned stop'),
  vmRegistered: spec('RS-5010', 'info', 'VM seen for the first time'),
  vmGone: spec('RS-5011', 'warn', 'VM is gone from the list'),
  vmMoveStarted: spec('RS-5012', 'info', 'VM starts to move between pools'),
  vmMoveDone: spec('RS-5013', 'info', 'VM is in its new pool'),
  vmWaiting: spec('RS-5014', 'info', 'VM operation waits'),
  vmMaintStarted: spec('RS-5015', 'info', 'VM taken out for maintenance'),
  vmMaintDone: spec('RS-5016', 'info', 'VM is back from maintenance'),
  vmDrained: spec('RS-5017', 'info', 'VM has no work in flight'),
  waveHalted: spec('RS-5020', 'warn', 'wave halted'),
  waveDone: spec('RS-5021', 'info', 'wave finished in this hall'),
  waveHeld: spec('RS-5022', 'info', 'wave step not started'),
  jobPlaced: spec('RS-5030', 'info', 'job placed on a VM'),
  jobUnplaced: spec('RS-5031', 'warn', 'job fits nowhere'),
  jobStarted: spec('RS-5032', 'info', 'job runs'),
  jobStopped: spec('RS-5033', 'info', 'job stopped'),
  jobFailed: spec('RS-5034', 'warn', 'job did not start'),
  stepRefused: spec('RS-5040', 'warn', 'platform refused a conditional change'),
  peerLost: spec('RS-6001', 'warn', 'peer does not answer'),
  peerBack: spec('RS-6002', 'info', 'peer answers'),
  peerMessageRefused: spec('RS-6003', 'warn', 'message of a peer refused'),
} as const satisfies Record<string, EventSpec>

/** Name of an event in the catalogue. */
export type EventName = keyof typeof EVENTS
