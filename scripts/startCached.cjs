/**
 * Starts a bundled program from the code cache of an earlier start.
 *
 * Compilation takes a third of a gateway's start time, and callers wait while a gateway restarts.
 * If there is no cache that matches this version of Node.js and its flags, the program is compiled
 * as usual.
 *
 * Usage: node startCached.cjs BUNDLE [ARGUMENT ...]
 *        WRITE_CODE_CACHE=1 node startCached.cjs BUNDLE --check ...
 *
 * The second form writes the cache next to BUNDLE.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { createRequire, wrap } = require('node:module');
const { dirname, resolve } = require('node:path');
const { Script } = require('node:vm');

// Until the bundle handles its signals, SIGHUP would end the process.
process.on('SIGHUP', () => undefined);

const bundle = resolve(process.argv[2]);
const cacheFile = `${bundle}.cache`;
process.argv.splice(1, 2, bundle);

const script = new Script(wrap(readFileSync(bundle, 'utf8')), {
  filename: bundle,
  cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
if (process.env.WRITE_CODE_CACHE) {
  process.on('exit', () => writeFileSync(cacheFile, script.createCachedData()));
} else if (script.cachedDataRejected) {
  process.stdout.write('level=warn event=code-cache-rejected\n');
}
const bundleModule = { exports: {} };
script.runInThisContext()(
  bundleModule.exports,
  createRequire(bundle),
  bundleModule,
  bundle,
  dirname(bundle),
);
