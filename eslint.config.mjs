import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

// Prettier owns layout, so stylistic rules that it contradicts are off.
const layoutOff = Object.fromEntries(
  [
    'operator-linebreak',
    'object-curly-newline',
    'implicit-arrow-linebreak',
    'function-paren-newline',
    'function-call-argument-newline',
    'newline-per-chained-call',
    'indent',
    'indent-binary-ops',
    'no-confusing-arrow',
    'no-mixed-operators',
    'quotes',
    'brace-style',
    'comma-dangle',
    'nonblock-statement-body-position',
    'space-before-function-paren',
    'wrap-iife',
    'quote-props',
    'lines-between-class-members',
    'generator-star-spacing',
    'yield-star-spacing',
  ].map((rule) => [`@stylistic/${rule}`, 'off']),
);

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/generated/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    rules: {
      ...layoutOff,
      // Node's module resolution needs the extension of the emitted file.
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      // The type check resolves modules under the workspace's own export condition.
      'import-x/no-unresolved': 'off',
      // Spec files and the benches use development dependencies of the workspace root.
      'import-x/no-extraneous-dependencies': 'off',
      // An abstract class stands beside its small implementations.
      'max-classes-per-file': ['error', 4],
      // Node 20 has native iterators; the rule's reason (regenerator) does not apply.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      // Retry and queue loops update counters.
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-bitwise': 'off',
      'class-methods-use-this': 'off',
      '@stylistic/max-len': [
        'error',
        {
          code: 100,
          ignoreRegExpLiterals: true,
          ignoreStrings: true,
          ignoreTemplateLiterals: true,
          ignoreComments: true,
          ignoreUrls: true,
        },
      ],
      // The types of modern-errors hide that its instances extend Error.
      '@typescript-eslint/only-throw-error': 'off',
      // Node 20 ships fetch; the rule waits for the label 'stable'.
      'n/no-unsupported-features/node-builtins': ['error', { ignores: ['fetch', 'Response'] }],
      'no-underscore-dangle': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  {
    files: ['**/test/**', '**/*.config.mjs'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'prefer-arrow-callback': 'off',
      'func-names': 'off',
    },
  },
];
