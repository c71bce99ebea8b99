#!/usr/bin/env node
/**
 * `rillshunt-node`: accepts jobs from callers and runs them on targets. Signals are
 * buffered before any other module is loaded.
 */
import { bufferSignals } from './signals.js'

const signals = bufferSignals()
void import('./nodeProgram.js').then(({ runNodeProgram }) => runNodeProgram(signals))
