/** Services that other services depend on: platform, store, documents, state of the node. */
import {
  createConfigurationHolder,
  createTargetList,
  createTargetSource,
} from '../directory/index.js'
import { defineService } from '../kernel/index.js'
import { createNamespaces } from '../namespaces/index.js'
import { watchProcessDelay, watchProcessorUse } from '../shared/index.js'
import { createStoreAccess } from '../storeAccess/index.js'
import type { NodePlatform } from './serviceMap.js'

/** Provides the platform adapter; it is closed last. */
export const platformService = (platform: NodePlatform) =>
  defineService({
    name: 'nodePlatform',
    needs: [],
    start: async () => platform,
    stop: async (each) => each.close(),
  })

/** Provides access to the store, directly or through a peer. */
export const storeAccessService = () =>
  defineService({
    name: 'storeAccess',
    needs: ['nodePlatform'],
    start: async ({ get, log }) =>
      createStoreAccess({ direct: get('nodePlatform').store, log }),
    stop: async (access) => access.stop(),
  })

/** Holds the state of the node. */
export const stateService = () =>
  defineService({ name: 'nodeState', needs: [], start: async () => ({ leaving: false }) })

/** Measures how late the event loop of this process runs. */
export const latenessService = () =>
  defineService({
    name: 'lateness',
    needs: [],
    start: async ({ log }) => watchProcessDelay(log),
    stop: async (lateness) => lateness.stop(),
  })

/** Measures how much of its processor time this process uses. */
export const processorService = () =>
  defineService({
    name: 'processor',
    needs: [],
    start: async ({ log }) => watchProcessorUse(log),
    stop: async (processor) => processor.stop(),
  })

/** Follows the operators' configuration and waves. */
export const configurationService = () =>
  defineService({
    name: 'configuration',
    needs: ['nodePlatform', 'storeAccess'],
    async start({ get, log }) {
      const { documents } = get('nodePlatform')
      const { store } = get('storeAccess')
      return createConfigurationHolder({ store, documents: documents.operator, log })
    },
    stop: (each) => each.stop(),
  })

/** Decides under which names the ids of jobs are recorded. */
export const namespacesService = () =>
  defineService({
    name: 'namespaces',
    needs: ['storeAccess', 'configuration'],
    async start({ get, log }) {
      const { store } = get('storeAccess')
      return createNamespaces({ store, configuration: get('configuration'), log })
    },
    stop: (namespaces) => namespaces.stop(),
  })

/** Provides the list of targets to the owners that run on this node. */
export const targetSourceService = () =>
  defineService({
    name: 'targetSource',
    needs: ['nodePlatform', 'storeAccess'],
    async start({ get, log }) {
      const { documents } = get('nodePlatform')
      const { store } = get('storeAccess')
      const opts = { store, documents: documents.targets, log }
      return createTargetSource(() => createTargetList(opts))
    },
    stop: (each) => each.stop(),
  })
