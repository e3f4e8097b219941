import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import prettierConfig from 'eslint-config-prettier';

const PEERS = ['caller', 'endpoint', 'platform', 'operator', 'vm', 'sessions'];

/** Import direction: program -> peer packages -> coordination. */
const importZones = [
  {
    target: './packages/coordination/src',
    from: './packages',
    except: ['./coordination'],
    message: 'coordination imports no other package.',
  },
  {
    target: './platform',
    from: './packages',
    except: ['./sessions'],
    message: 'the folder platform/ only translates for the sessions package.',
  },
  ...PEERS.map((peer) => ({
    target: `./packages/${peer}/src`,
    from: './packages',
    except: [`./${peer}`, './coordination'],
    message: 'a peer package imports only coordination.',
  })),
];

export default [
  {
    ignores: [
      '**/node_modules',
      'dist',
      'out',
      'target',
      'journal',
      'packages/*/src/generated',
      'scripts/*.mjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettierConfig,
  {
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: importZones }],
      'import-x/extensions': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      // Steps that must run in order are awaited in for...of; Node 20 needs no transpiling for it.
      'no-restricted-syntax': 'off',
      'no-await-in-loop': 'off',
      // Implementations of an abstract class need not use their state in every method.
      'class-methods-use-this': 'off',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['packages/*/src/index.ts', 'platform/index.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportNamedDeclaration, ExportAllDeclaration',
          message: 'A file has one export, its default; index.ts registers public items.',
        },
      ],
    },
  },
  {
    // The names of the users' platform stand in one folder.
    files: ['packages/*/src/**/*.ts'],
    ignores: ['packages/*/src/generated/**', 'packages/auburngrade/src/site/main.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportNamedDeclaration, ExportAllDeclaration',
          message: 'A file has one export, its default; index.ts registers public items.',
        },
        {
          selector:
            'Literal[value=/WAITLSN|DATAROW|INDOUBT|AUTHFAIL|X-Auburngrade|kv-(key|range|txn|watch)|op\\/config/]',
          message: "The platform's names are decoded in platform/.",
        },
      ],
    },
  },
  {
    files: ['packages/*/src/index.ts'],
    rules: { 'no-restricted-syntax': 'off' },
  },
  {
    files: ['**/*.spec.ts', 'scripts/**', 'packages/testkit/**', '*.mjs'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-console': 'off',
    },
  },
];
