import { copyFileSync } from 'node:fs';
import { build } from 'esbuild';

const programs = ['entry', 'agent', 'gateway', 'admin', 'standin', 'bench'];
const outdir = process.argv[2] ?? 'build';

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  minifyWhitespace: true,
  // These native add-ons are optional; the packages that use them fall back to JavaScript.
  external: ['msgpackr-extract', 'unix-dgram', 'bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
};

await build({
  ...commonOptions,
  entryPoints: programs.map((name) => `src/bin/ibisspar-${name}.ts`),
  outdir,
  outExtension: { '.js': '.mjs' },
  format: 'esm',
  banner: {
    js: "import { createRequire as bundleCreateRequire } from 'node:module'; const require = bundleCreateRequire(import.meta.url);",
  },
});

// Only CommonJS scripts can be started from a code cache, see startCached.cjs.
await build({
  ...commonOptions,
  entryPoints: ['src/bin/ibisspar-gateway.ts'],
  outdir,
  outExtension: { '.js': '.cjs' },
  format: 'cjs',
  alias: { undici: './scripts/undiciClient.cjs', 'node:http2': './scripts/noHttp2.cjs' },
  minifyIdentifiers: true,
});
copyFileSync('scripts/startCached.cjs', `${outdir}/startCached.cjs`);
