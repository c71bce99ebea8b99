/** Documents shared with operators and targets through the store: tables, keys and codecs. */
import type { Result } from 'neverthrow'
import type { PlatformError } from '../shared/index.js'
import type { Configuration, Wave } from './configuration.js'
import type { RowKey } from './rowStore.js'
import type { Target } from './targetOrders.js'

/** State of a wave as operators read it. */
export type WaveState = 'running' | 'completed'

export interface Documents {
  /** Target list: one row per incarnation, under its id. */
  targets: {
    table: string
    decode(id: string, text: string): Result<Target, PlatformError>
  }
  /** Documents that operators write. */
  operator: {
    table: string
    configurationKey: string
    decodeConfiguration(text: string): Result<Configuration, PlatformError>
    isWave(key: string): boolean
    decodeWave(text: string): Result<Wave, PlatformError>
    /**
     * Data hall that a row cordons, by the key of the row; undefined for rows of other kinds. The
     * presence of the row is the request, whatever its value.
     */
    cordonedHall(key: string): string | undefined
  }
  /** Status of a wave, which operators read. */
  waveStatus: {
    row(id: number): RowKey
    encode(state: WaveState): string
  }
}
