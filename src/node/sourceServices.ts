/** Services that others build on: the platform, its documents, the state of the node. */
import { createConfigurationHolder, createTargetList } from '../directory/index.js'
import { defineService } from '../kernel/index.js'
import type { NodePlatform } from './serviceMap.js'

/** The adapter to the platform; closed last. */
export const platformService = (platform: NodePlatform) =>
  defineService({
    name: 'nodePlatform',
    needs: [],
    start: async () => platform,
    stop: async (each) => each.close(),
  })

/** Whether the node stops. */
export const stateService = () =>
  defineService({ name: 'nodeState', needs: [], start: async () => ({ leaving: false }) })

/** The configuration and the waves of the operators. */
export const configurationService = () =>
  defineService({
    name: 'configuration',
    needs: ['nodePlatform'],
    async start({ get, log }) {
      const { store, documents } = get('nodePlatform')
      return createConfigurationHolder({ store, documents: documents.operator, log })
    },
    stop: (each) => each.stop(),
  })

/** The list of targets. */
export const targetListService = () =>
  defineService({
    name: 'targetList',
    needs: ['nodePlatform'],
    async start({ get, log }) {
      const { store, documents } = get('nodePlatform')
      return createTargetList({ store, documents: documents.targets, log })
    },
    stop: (each) => each.stop(),
  })
