import { build } from 'esbuild';

// The VM's program alone: commands and other peers would only lengthen its start.
await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  entryPoints: ['packages/auburngrade/src/site/main.ts'],
  outfile: 'target/auburngrade-vm.cjs',
});
