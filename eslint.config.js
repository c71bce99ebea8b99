import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'journal/', 'src/peer/gen/', 'node_modules/'] },
  ...tseslint.configs.recommended,
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      eqeqeq: 'error',
      'no-console': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['playground/**', 'bench/**', 'scripts/**', 'src/bin/**'],
    rules: { 'no-console': 'off' },
  },
)
