/** Conversion of loan messages to and from protobuf. */
import { create } from '@bufbuild/protobuf'
import type { LoanMessage } from '../entry/index.js'
import { LoansSchema } from './gen/peer_pb.js'
import type { Loans } from './gen/peer_pb.js'
import { MAX_SERVICE_LOADS } from './constants.js'

/** Encodes a loan message, with at most {@link MAX_SERVICE_LOADS} services. */
export function encodeLoans(message: LoanMessage): Loans {
  return create(LoansSchema, {
    life: BigInt(message.life),
    peerLife: BigInt(message.peerLife),
    lines: message.lines.slice(0, MAX_SERVICE_LOADS),
  })
}

/** Decodes a loan message for the entry. */
export function decodeLoans(loans: Loans): LoanMessage {
  const lines = loans.lines.map(
    ({ service, granted, returned, legacy, wants, recall }) => {
      return { service, granted, returned, legacy, wants, recall }
    },
  )
  return { life: Number(loans.life), peerLife: Number(loans.peerLife), lines }
}
