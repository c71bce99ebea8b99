/** Services that others reach: callers, readiness, metrics; and the planned stop. */
import { createJobService } from '../front/index.js'
import { defineService } from '../kernel/index.js'
import { describeError, sleep } from '../shared/index.js'
import { closeServer } from './closeServer.js'

/** Body limit before a configuration is known, in bytes: the platform's usual one. */
const DEFAULT_BODY_BYTES = 262_144
/**
 * Time that a leaving node goes on answering, in ms: the platform sends new connections
 * until it has missed readiness twice, a second apart.
 */
const DRAIN_NOTICE_MS = 2500
/** Longest wait for requests in flight in a planned stop, in ms. */
const CLOSE_TIMEOUT_MS = 1000

/** Serves metrics. A node without them still works: the port may be taken. */
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

/** Takes jobs from callers; in a planned stop, requests in flight are answered first. */
export const callersService = () =>
  defineService({
    name: 'callers',
    needs: ['nodePlatform', 'storeAccess', 'configuration', 'ownerCalls'],
    async start({ get, log }) {
      const { openCallers } = get('nodePlatform')
      const { store } = get('storeAccess')
      const configuration = get('configuration')
      const owners = get('ownerCalls')
      const jobs = createJobService({ store, configuration, owners, log })
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

/** Says whether the node takes requests. */
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

/** The last service to start, so that a planned stop begins with it. */
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
