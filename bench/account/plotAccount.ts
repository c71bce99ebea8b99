/** Plots an account: waits by service, VMs by pool and changes of owners. */
import { scaleLinear, scaleOrdinal } from 'd3-scale'
import { line } from 'd3-shape'
import type { Account, SecondStats } from './buildAccount.js'

const WIDTH = 960
const PANEL_HEIGHT = 200
const MARGIN = { left: 50, right: 130, top: 24, bottom: 20 }
/** Colours that can also be distinguished in print. */
const COLOURS = [
  '#1b6ca8',
  '#c8553d',
  '#4f8a10',
  '#7d3c98',
  '#b7950b',
  '#117a65',
  '#566573',
]

interface Panel {
  title: string
  valueOf(second: SecondStats, name: string): number
  names: string[]
}

const drawText = (x: number, y: number, text: string, colour = '#333'): string =>
  `<text x="${x}" y="${y}" fill="${colour}">${text}</text>`

function drawPanel(seconds: SecondStats[], panel: Panel, top: number): string {
  const maxValue = Math.max(
    1,
    ...seconds.flatMap((each) => panel.names.map((name) => panel.valueOf(each, name))),
  )
  const x = scaleLinear([0, seconds.length - 1], [MARGIN.left, WIDTH - MARGIN.right])
  const y = scaleLinear(
    [0, maxValue],
    [top + PANEL_HEIGHT - MARGIN.bottom, top + MARGIN.top],
  )
  const colour = scaleOrdinal(panel.names, COLOURS)
  const curves = panel.names.map((name, index) => {
    const path = line<SecondStats>(
      (each) => x(each.at),
      (each) => y(panel.valueOf(each, name)),
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
  const ownerChanges = seconds
    .filter(({ newOwners }) => newOwners.length > 0)
    .map(({ at }) => {
      const place = `x1="${x(at)}" x2="${x(at)}" y1="${y.range()[0]}" y2="${y.range()[1]}"`
      return `<line ${place} stroke="#999" stroke-dasharray="3 3"/>`
    })
  const title = drawText(MARGIN.left, top + 14, panel.title)
  return [title, ...ticks, ...ownerChanges, ...curves].join('\n')
}

/** Renders the account as SVG. */
export function plotAccount({ seconds }: Account): string {
  const services = new Set(seconds.flatMap(({ byService }) => [...byService.keys()]))
  const pools = new Set(seconds.flatMap(({ vms }) => [...vms.keys()]))
  const panels: Panel[] = [
    {
      title: '90th percentile of waits, ms (dashed: a new owner)',
      names: [...services],
      valueOf: (second, name) => second.byService.get(name)?.waitMs ?? 0,
    },
    {
      title: 'VMs by pool',
      names: [...pools],
      valueOf: (second, name) => second.vms.get(name) ?? 0,
    },
  ]
  const drawn = panels.map((lane, index) =>
    drawPanel(seconds, lane, index * PANEL_HEIGHT),
  )
  const size = `width="${WIDTH}" height="${panels.length * PANEL_HEIGHT}"`
  const font = 'font-family="sans-serif" font-size="11"'
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${font}>\n${drawn.join('\n')}\n</svg>\n`
}
