import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/**
 * Source folders from the lowest layer up; each may import only from itself and from lower layers.
 */
const layers = [
  'base',
  'services',
  'standin',
  'agent',
  'entry',
  'gateway',
  'admin',
  'bench',
  'bin',
];
const programs = ['standin', 'agent', 'entry', 'gateway', 'admin'];

const zones = [
  ...layers.map((layer, index) => ({
    target: `./src/${layer}`,
    from: layers.slice(index + 1).map((upper) => `./src/${upper}`),
  })),
  ...programs.map((program) => ({
    target: `./src/${program}`,
    from: programs.filter((other) => other !== program).map((other) => `./src/${other}`),
  })),
  { target: './src/**/common/**/*', from: './src/**/node/**/*' },
  // Only the main modules in `src/bin` connect the platform adapter to the product.
  ...layers
    .filter((layer) => layer !== 'bin')
    .map((layer) => ({ target: `./src/${layer}`, from: ['./platform'] })),
  { target: ['./src', './platform'], from: ['./soak'] },
].filter((zone) => zone.from.length > 0);

const lostTimeouts = {
  object: 'AbortSignal',
  property: 'any',
  message: 'Node.js 20 collects the timeout signals in it as garbage; use receiveWhole',
};

const inputOutputModules = ['fs', 'net', 'http', 'https', 'dgram', 'dns', 'timers', 'process'].map(
  (name) => `node:${name}`,
);

const httpClient = {
  name: 'undici',
  message: 'its answers are not bounded in memory; use EndpointSender or QueuedSender',
};

export default [
  { ignores: ['dist/**', 'build/**', 'node_modules/**', 'run/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['scripts/*.mjs', 'scripts/*.cjs'] },
      },
    },
  },
  {
    rules: {
      'import-x/no-restricted-paths': ['error', { zones }],
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-void': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-underscore-dangle': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-properties': ['error', lostTimeouts],
      'class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      curly: ['error', 'all'],
      // Helper functions are defined below their callers. Classes are only used after the module is
      // loaded.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      // Methods of a class modify mutable records that only this class owns and passes around.
      'no-param-reassign': ['error', { props: false }],
    },
  },
  {
    files: [
      'src/services/program/**',
      'src/services/settings/node/**',
      'src/bin/**',
      'src/base/node/**',
    ],
    rules: { 'n/no-process-exit': 'off', 'n/no-sync': 'off' },
  },
  {
    files: ['src/standin/**', 'src/bench/**', 'soak/**'],
    rules: { 'n/no-process-exit': 'off', 'n/no-sync': 'off', 'no-bitwise': 'off' },
  },
  {
    files: ['src/**/test/**', 'platform/test/**', 'soak/**', 'scripts/**'],
    rules: {
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: ['src/**', 'platform/**'],
    ignores: [
      'src/services/exchange/**',
      'src/bench/**',
      'src/standin/**',
      'src/**/test/**',
      'platform/test/**',
    ],
    rules: { 'no-restricted-imports': ['error', { paths: [httpClient] }] },
  },
  {
    files: ['scripts/*.cjs'],
    rules: {
      '@typescript-eslint/no-require-imports': 'off',
      'import-x/no-relative-packages': 'off',
    },
  },
  {
    files: ['src/**/common/**/*.ts', 'soak/common/**/*.ts'],
    ignores: ['src/**/test/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        { paths: [...inputOutputModules.map((name) => ({ name })), httpClient] },
      ],
      'no-restricted-globals': [
        'error',
        ...['setTimeout', 'setInterval', 'setImmediate', 'fetch', 'process'].map((name) => ({
          name,
          message: 'common code takes timers and I/O through its constructor',
        })),
      ],
      'no-restricted-properties': [
        'error',
        lostTimeouts,
        { object: 'Date', property: 'now', message: 'common code takes the time as an argument' },
        {
          object: 'Math',
          property: 'random',
          message: 'common code takes randomness as an argument',
        },
      ],
    },
  },
];
