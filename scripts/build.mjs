import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { inject } from 'postject';
import { readFileSync } from 'node:fs';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });
const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['pg-native'],
  logLevel: 'warning',
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
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
await inject('dist/auburngrade', 'NODE_SEA_BLOB', readFileSync('dist/auburngrade.blob'), {
  sentinelFuse: FUSE,
});
chmodSync('dist/auburngrade', 0o755);
