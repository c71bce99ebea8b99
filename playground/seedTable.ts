/** Initial table of the playground: a small version of the front services of two teams. */
import type { RawTable } from '../src/table/index.js'

export const SEED_TABLE: RawTable = {
  'pool/ranking': { weight: '2', limit: '4' },
  'pool/activation': { weight: '3', limit: '4' },
  'service/timing': {
    weight: '2',
    limit: '64',
    pool: 'ranking',
    team: 'speedboard',
    instances: '2',
    budget: '2',
    priority: 'urgent',
  },
  'service/boards': {
    weight: '1',
    limit: '64',
    pool: 'ranking',
    team: 'speedboard',
    instances: '2',
    budget: '2',
  },
  'service/esim': {
    weight: '3',
    limit: '64',
    pool: 'activation',
    team: 'fjordkort',
    instances: '3',
    budget: '2',
    priority: 'urgent',
  },
}
