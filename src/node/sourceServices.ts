/** Services that others build on: the platform, its documents, the state of the node. */
import {
  createConfigurationHolder,
  createTargetList,
  createTargetSource,
} from '../directory/index.js'
import { defineService } from '../kernel/index.js'
import { watchLateness } from '../shared/index.js'
import { createStoreAccess } from '../storeAccess/index.js'
import type { NodePlatform } from './serviceMap.js'

/** The adapter to the platform; closed last. */
export const platformService = (platform: NodePlatform) =>
  defineService({
    name: 'nodePlatform',
    needs: [],
    start: async () => platform,
    stop: async (each) => each.close(),
  })

/** The store as this node reaches it, itself or through a peer. */
export const storeAccessService = () =>
  defineService({
    name: 'storeAccess',
    needs: ['nodePlatform'],
    start: async ({ get, log }) =>
      createStoreAccess({ direct: get('nodePlatform').store, log }),
    stop: async (access) => access.stop(),
  })

/** Whether the node stops. */
export const stateService = () =>
  defineService({ name: 'nodeState', needs: [], start: async () => ({ leaving: false }) })

/** How late this process runs. */
export const latenessService = () =>
  defineService({
    name: 'lateness',
    needs: [],
    start: async ({ log }) => watchLateness(log),
    stop: async (lateness) => lateness.stop(),
  })

/** The configuration and the waves of the operators. */
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

/** The list of targets, for the owners that run here. */
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
