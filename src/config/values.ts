/**
 * Parsers for the kinds of values in settings. Their errors say what is allowed.
 */
import { isIP } from 'node:net'
import { z } from 'zod'

const DURATION_UNITS: Record<string, number> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }
const SIZE_UNITS: Record<string, number> = { B: 1, KiB: 1024, MiB: 1024 ** 2 }
const BOOLEAN_WORDS: Record<string, boolean> = {
  yes: true,
  on: true,
  true: true,
  no: false,
  off: false,
  false: false,
}

function parseWithUnit(text: string, units: Record<string, number>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text.trim())
  const factor = units[match?.[2] ?? '']
  if (!match || factor === undefined) return undefined
  return Math.round(Number(match[1]) * factor)
}

function textValue<T>(allowed: string, parse: (text: string) => T | undefined) {
  return z.unknown().transform((raw, ctx): T => {
    const value = parse(String(raw))
    if (value !== undefined) return value
    ctx.addIssue({ code: 'custom', message: `'${String(raw)}' is not ${allowed}` })
    return z.NEVER
  })
}

/** A duration with a unit, resolved to milliseconds. */
export const duration = () =>
  textValue('a duration with a unit (ms, s, m, h), such as 250ms', (text) =>
    parseWithUnit(text, DURATION_UNITS),
  )

/** A size with a unit, resolved to bytes. */
export const size = () =>
  textValue('a size with a unit (B, KiB, MiB), such as 64KiB', (text) =>
    parseWithUnit(text, SIZE_UNITS),
  )

/** A boolean. */
export const toggle = () =>
  textValue('one of yes, no, on, off, true, false', (text) => BOOLEAN_WORDS[text])

/** A whole number from `min` to `max`. */
export const wholeNumber = (min: number, max: number) =>
  textValue(`a whole number from ${min} to ${max}`, (text) => {
    const value = Number(text)
    const isInRange = /^\d+$/.test(text) && value >= min && value <= max
    return isInRange ? value : undefined
  })

/** A number from 0 to 1. */
export const fraction = () =>
  textValue('a number from 0 to 1', (text) => {
    const value = Number(text)
    return text.trim() !== '' && value >= 0 && value <= 1 ? value : undefined
  })

/** A number above 0. */
export const positiveNumber = () =>
  textValue('a number above 0', (text) => {
    const value = Number(text)
    return text.trim() !== '' && value > 0 && Number.isFinite(value) ? value : undefined
  })

/** A TCP port; 0 lets the system pick one. */
export const port = () => wholeNumber(0, 65_535)

/** An IP address. Host names are refused, so that no process depends on DNS. */
export const ipAddress = () =>
  textValue('an IP number (host names are not allowed), such as 10.1.0.4', (text) =>
    isIP(text) ? text : undefined,
  )

const IDENTIFIER = /^[a-z0-9](?:[a-z0-9-]{0,62})$/i

/** The name of a node, data hall or region. */
export const identifier = () =>
  textValue('a name of letters, digits and dashes, at most 63 long', (text) =>
    IDENTIFIER.test(text) ? text : undefined,
  )

/** Longest name, in bytes: it is used as a store key, which may have 200 bytes. */
const MAX_NODE_NAME_LENGTH = 150

const PRINTABLE_NAME = /^[!-~]+$/

/** A name that the platform gives to a node or a data hall: printable, without blanks. */
export const nodeName = () =>
  textValue(
    `a printable name without blanks, at most ${MAX_NODE_NAME_LENGTH} long`,
    (text) =>
      PRINTABLE_NAME.test(text) && text.length <= MAX_NODE_NAME_LENGTH ? text : undefined,
  )

/** A list of such names, separated by commas. */
export const nodeNameList = () =>
  textValue('a list of names, such as a-1,a-2', (text) => {
    const names = text.split(',').map((name) => name.trim())
    return names.every((name) => PRINTABLE_NAME.test(name)) ? names : undefined
  })

/** An HTTP URL with an IP address as its host, resolved to the origin. */
export const httpUrl = () =>
  textValue('an http URL by IP number, such as http://10.1.0.4:7000', (text) => {
    if (!URL.canParse(text)) return undefined
    const url = new URL(text)
    const host = url.hostname.replace(/^\[|\]$/g, '')
    return url.protocol === 'http:' && isIP(host) ? url.origin : undefined
  })

/** A peer, written as `HALL IP:PORT`, or `HALL IP:PORT keeper` for a keeper process. */
export interface PeerAddress {
  hall: string
  host: string
  port: number
  role: 'entry' | 'keeper'
}

const PEER_PATTERN = /^([a-z0-9-]+)\s+\[?([0-9a-f.:]+?)\]?:(\d+)(?:\s+(keeper))?$/i

/** A {@link PeerAddress} in its text form. */
export const peerAddress = () =>
  textValue('a data hall and an address, such as oslo-1 10.1.0.4:7082', (text) => {
    const [, hall, host, portText, role] = PEER_PATTERN.exec(text.trim()) ?? []
    if (!hall || !host || !isIP(host) || Number(portText) > 65_535) return undefined
    const peer: PeerAddress = {
      hall,
      host,
      port: Number(portText),
      role: role === undefined ? 'entry' : 'keeper',
    }
    return peer
  })

/** An address, as `IP:PORT`. */
export const socketAddress = () =>
  textValue('an address by IP number, such as 10.1.0.4:7080', (text) => {
    const [, host, portText] = /^(.+):(\d+)$/.exec(text.trim()) ?? []
    if (!host || !isIP(host) || Number(portText) > 65_535) return undefined
    return `${host}:${portText}`
  })

/** A list of names, separated by commas. */
export const identifierList = () =>
  textValue('a list of names, such as base,drain', (text) => {
    const names = text.split(',').map((name) => name.trim())
    return names.every((name) => IDENTIFIER.test(name)) ? names : undefined
  })
