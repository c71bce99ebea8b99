export default {
  files: ['dist/**/__tests__/*.spec.js'],
  timeout: '120s',
  concurrency: 4,
}
