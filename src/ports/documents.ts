/** Documents of others in the store: where they lie and how they are read. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'
import type { Configuration, Wave } from './configuration.js'
import type { RowKey } from './rowStore.js'
import type { Target } from './targetOrders.js'

export interface Documents {
  /** The list of targets: one row per life, by its id. */
  targets: {
    table: string
    decode(id: string, text: string): Result<Target, PlatformError>
  }
  /** What the operators write. */
  operator: {
    table: string
    configurationKey: string
    decodeConfiguration(text: string): Result<Configuration, PlatformError>
    isWave(key: string): boolean
    decodeWave(text: string): Result<Wave, PlatformError>
  }
  /** What the operators read about a wave. */
  waveStatus: {
    row(id: number): RowKey
    encode(state: 'running' | 'completed'): string
  }
}
