/** Tests with crowds of clients, which fill the machine: one at a time, after all others. */
export default {
  files: ['dist/playground/crowds/*.spec.js'],
  timeout: '300s',
  concurrency: 1,
  serial: true,
}
