/** Writes the tables of docs/CAPACITY.md from the results of the capacity bench. */
import { readFile, writeFile } from 'node:fs/promises'
import { MARKERS, renderCapacity } from '../bench/capacityPage.js'
import type { CapacityResults } from '../bench/capacityPage.js'

const PAGE = 'docs/CAPACITY.md'

const results = JSON.parse(
  await readFile('bench/results/capacity.json', 'utf8'),
) as CapacityResults
const page = await readFile(PAGE, 'utf8')
const [head] = page.split(MARKERS.begin)
const tail = page.split(MARKERS.end)[1]
await writeFile(
  PAGE,
  `${head}${MARKERS.begin}\n\n${renderCapacity(results)}\n\n${MARKERS.end}${tail}`,
)
