/** A picture of an account: waits by service, VMs by pool, changes of owners. */
import { scaleLinear, scaleOrdinal } from 'd3-scale'
import { line } from 'd3-shape'
import type { Account, Second } from './buildAccount.js'

const WIDTH = 960
const LANE_HEIGHT = 200
const MARGIN = { left: 50, right: 130, top: 24, bottom: 20 }
/** Seven colours that also differ in print. */
const COLOURS = [
  '#1b6ca8',
  '#c8553d',
  '#4f8a10',
  '#7d3c98',
  '#b7950b',
  '#117a65',
  '#566573',
]

interface Lane {
  title: string
  valueOf(second: Second, name: string): number
  names: string[]
}

const drawText = (x: number, y: number, text: string, colour = '#333'): string =>
  `<text x="${x}" y="${y}" fill="${colour}">${text}</text>`

function drawLane(seconds: Second[], lane: Lane, top: number): string {
  const highest = Math.max(
    1,
    ...seconds.flatMap((each) => lane.names.map((name) => lane.valueOf(each, name))),
  )
  const x = scaleLinear([0, seconds.length - 1], [MARGIN.left, WIDTH - MARGIN.right])
  const y = scaleLinear(
    [0, highest],
    [top + LANE_HEIGHT - MARGIN.bottom, top + MARGIN.top],
  )
  const colour = scaleOrdinal(lane.names, COLOURS)
  const curves = lane.names.map((name, index) => {
    const path = line<Second>(
      (each) => x(each.at),
      (each) => y(lane.valueOf(each, name)),
    )(seconds)
    const label = drawText(
      WIDTH - MARGIN.right + 8,
      top + 40 + index * 16,
      name,
      colour(name),
    )
    return `<path d="${path ?? ''}" fill="none" stroke="${colour(name)}"/>${label}`
  })
  const ticks = y.ticks(4).map((tick) => drawText(8, y(tick) + 4, String(tick)))
  const changes = seconds
    .filter(({ taken }) => taken.length > 0)
    .map(({ at }) => {
      const place = `x1="${x(at)}" x2="${x(at)}" y1="${y.range()[0]}" y2="${y.range()[1]}"`
      return `<line ${place} stroke="#999" stroke-dasharray="3 3"/>`
    })
  const title = drawText(MARGIN.left, top + 14, lane.title)
  return [title, ...ticks, ...changes, ...curves].join('\n')
}

/** Draws the account as SVG. */
export function plotAccount({ seconds }: Account): string {
  const services = new Set(seconds.flatMap(({ byService }) => [...byService.keys()]))
  const pools = new Set(seconds.flatMap(({ vms }) => [...vms.keys()]))
  const lanes: Lane[] = [
    {
      title: 'wait that a tenth of the starts exceeded, ms (dashed: a new owner)',
      names: [...services],
      valueOf: (second, name) => second.byService.get(name)?.waitMs ?? 0,
    },
    {
      title: 'VMs by pool',
      names: [...pools],
      valueOf: (second, name) => second.vms.get(name) ?? 0,
    },
  ]
  const drawn = lanes.map((lane, index) => drawLane(seconds, lane, index * LANE_HEIGHT))
  const size = `width="${WIDTH}" height="${lanes.length * LANE_HEIGHT}"`
  const font = 'font-family="sans-serif" font-size="11"'
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${font}>\n${drawn.join('\n')}\n</svg>\n`
}
