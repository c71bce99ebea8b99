#!/usr/bin/env node
/**
 * `rillshunt-node`: accepts jobs from callers and runs them on targets. Signals are
 * buffered before any other module is loaded.
 */
import { holdSignals } from './signals.js'

const signals = holdSignals()
void import('./nodeProgram.js').then(({ runNodeProgram }) => runNodeProgram(signals))
