#!/usr/bin/env node
/**
 * `rillshunt-node`: takes jobs from callers and runs them on targets. Signals are held
 * before anything else is loaded.
 */
import { holdSignals } from './signals.js'

const signals = holdSignals()
void import('./nodeProgram.js').then(({ runNodeProgram }) => runNodeProgram(signals))
