/** Least-squares fits of measured points. */

/** A fitted line. */
export interface Fit {
  /** Change per unit of size. */
  slope: number
  /** Value at size 0. */
  base: number
  /** Coefficient of determination. */
  r2: number
  /** Largest residual, as a share of the largest absolute value. */
  worst: number
}

/** A measured point. */
export interface Point {
  size: number
  value: number
}

/** Fits a line through at least two points. */
export function fitLine(points: readonly Point[]): Fit {
  const n = points.length
  const mean = (pick: (p: Point) => number) =>
    points.reduce((sum, p) => sum + pick(p), 0) / n
  const meanSize = mean((p) => p.size)
  const meanValue = mean((p) => p.value)
  const covariance = mean((p) => (p.size - meanSize) * (p.value - meanValue))
  const slope = covariance / mean((p) => (p.size - meanSize) ** 2)
  const base = meanValue - slope * meanSize
  const residuals = points.map((p) => p.value - (base + slope * p.size))
  const variance = mean((p) => (p.value - meanValue) ** 2)
  const residualVariance = residuals.reduce((sum, r) => sum + r * r, 0) / n
  const maxValue = Math.max(...points.map((p) => Math.abs(p.value)))
  const worst = Math.max(...residuals.map(Math.abs)) / maxValue
  const round = (value: number) => Number(value.toPrecision(3))
  return {
    slope: round(slope),
    base: round(base),
    r2: round(1 - residualVariance / variance),
    worst: round(worst),
  }
}

/** Fits a power law and returns its exponent: 1 is linear growth. */
export function fitExponent(points: readonly Point[]): number {
  const logs = points.map(({ size, value }) => ({
    size: Math.log(size),
    value: Math.log(value),
  }))
  return fitLine(logs).slope
}
