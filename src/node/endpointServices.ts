/** Services with endpoints for callers, readiness checks and metrics, and the planned stop. */
import { createFrontAdmission } from '../admission/index.js'
import { featuresOf } from '../config/index.js'
import type { NodeConfig } from '../config/index.js'
import { createJobService } from '../front/index.js'
import { defineService } from '../kernel/index.js'
import { describeError, sleep } from '../shared/index.js'
import { closeServer } from './closeServer.js'

/** Body limit while no configuration is known, in bytes: the platform's usual limit. */
const DEFAULT_BODY_BYTES = 262_144
/**
 * Time for which a leaving node still answers, in ms: the platform sends new connections until
 * two readiness checks, a second apart, have failed.
 */
const DRAIN_NOTICE_MS = 2500
/** Longest wait for requests in flight during a planned stop, in ms. */
const CLOSE_TIMEOUT_MS = 1000

/** Serves metrics. If the port cannot be opened, e.g. as it is in use, the node runs without. */
export const metricsService = () =>
  defineService({
    name: 'metricsFace',
    needs: ['nodePlatform'],
    async start({ get, log }) {
      try {
        return { server: await get('nodePlatform').openMetrics() }
      } catch (cause) {
        log.event('metricsNotServed', { reason: describeError(cause) })
        return { server: undefined }
      }
    },
    async stop({ server }) {
      if (server) closeServer(server)
    },
  })

/** Serves callers; a planned stop waits for requests in flight, up to `CLOSE_TIMEOUT_MS`. */
export const callersService = (cfg: NodeConfig) =>
  defineService({
    name: 'callers',
    needs: [
      'nodePlatform',
      'storeAccess',
      'configuration',
      'namespaces',
      'ownerCalls',
      'owners',
    ],
    async start({ get, log }) {
      const { openCallers } = get('nodePlatform')
      const { store } = get('storeAccess')
      const configuration = get('configuration')
      const owners = get('ownerCalls')
      const { halls } = cfg.node
      const admission = featuresOf(cfg).has('admission')
        ? createFrontAdmission({ loadOf: owners.load })
        : undefined
      const jobs = createJobService({
        store,
        configuration,
        owners,
        namespaces: get('namespaces'),
        halls,
        maxJobBytes: get('owners').memory.limit,
        admission,
        log,
      })
      const maxBodyBytes = () =>
        configuration.current()?.limits.bodyBytes ?? DEFAULT_BODY_BYTES
      return { server: await openCallers(jobs, maxBodyBytes) }
    },
    async stop({ server }) {
      const closed = new Promise((resolve) => server.close(resolve))
      server.closeIdleConnections()
      await Promise.race([closed, sleep(CLOSE_TIMEOUT_MS)])
      server.closeAllConnections()
    },
  })

/** Serves the readiness check. */
export const readinessService = () =>
  defineService({
    name: 'readiness',
    needs: ['nodePlatform', 'nodeState', 'configuration', 'registry', 'callers'],
    async start({ get }) {
      const state = get('nodeState')
      const configuration = get('configuration')
      const registry = get('registry')
      const server = await get('nodePlatform').openReadiness(() => {
        if (state.leaving) return 'leaving'
        if (!configuration.current()) return 'no configuration yet'
        return registry.isConnected() ? undefined : 'store not reached'
      })
      return { server }
    },
    stop: async ({ server }) => closeServer(server),
  })

/** Drains the node; as the last service to start, it is the first to stop. */
export const departureService = () =>
  defineService({
    name: 'departure',
    needs: ['nodeState', 'ownership', 'readiness'],
    async start({ get }) {
      const state = get('nodeState')
      const ownership = get('ownership')
      return {
        async depart() {
          state.leaving = true
          await Promise.all([ownership.release(), sleep(DRAIN_NOTICE_MS)])
        },
      }
    },
    stop: (departure) => departure.depart(),
  })
