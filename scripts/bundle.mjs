import { build } from 'esbuild';

const programs = ['entry', 'agent', 'gateway', 'admin', 'standin', 'bench'];
const outdir = process.argv[2] ?? 'build';

await build({
  entryPoints: programs.map((name) => `src/bin/ibisspar-${name}.ts`),
  outdir,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  // Native add-ons are optional for these packages; each falls back to JavaScript.
  external: ['msgpackr-extract', 'unix-dgram', 'bufferutil', 'utf-8-validate'],
  banner: {
    js: "import { createRequire as bundleCreateRequire } from 'node:module'; const require = bundleCreateRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
