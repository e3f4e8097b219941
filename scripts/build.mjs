import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { inject } from 'postject';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Optional modules that the program never loads: oclif reads tsconfig files with typescript.
  external: ['pg-native', 'typescript'],
  logLevel: 'warning',
  define: { 'import.meta.url': 'importMetaUrl' },
  // The require() of a single executable warns on standard error, so it is replaced by a plain one.
  banner: {
    js: [
      "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;",
      "var require = require('node:module').createRequire(importMetaUrl);",
    ].join('\n'),
  },
};
await build({
  ...common,
  entryPoints: ['packages/auburngrade/src/main.ts'],
  outfile: 'dist/auburngrade.cjs',
});
await build({
  ...common,
  entryPoints: {
    member: 'packages/testkit/src/memberStandIn/main.ts',
    platform: 'packages/testkit/src/platformStandIn/main.ts',
  },
  outdir: 'dist/testkit',
  outExtension: { '.js': '.cjs' },
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/auburngrade.cjs',
    output: 'dist/auburngrade.blob',
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'ignore' });
copyFileSync(process.execPath, 'dist/auburngrade');

/** postject's parser reports notes of the executable that it cannot name; they do no harm. */
const withoutNoteWarnings = async (run) => {
  const { log, warn, error } = console;
  const filter =
    (print) =>
    (...words) =>
      String(words[0]).includes("Can't find string offset") || print(...words);
  Object.assign(console, { log: filter(log), warn: filter(warn), error: filter(error) });
  await run();
  Object.assign(console, { log, warn, error });
};
await withoutNoteWarnings(() =>
  inject('dist/auburngrade', 'NODE_SEA_BLOB', readFileSync('dist/auburngrade.blob'), {
    sentinelFuse: FUSE,
  }),
);
chmodSync('dist/auburngrade', 0o755);
