// Runs the case whose module is given. What keeps it from running at all ends with 2, not with the 1 of Node.js.
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';

try {
  await import(pathToFileURL(resolve(process.argv[2])).href);
} catch (err) {
  process.stderr.write(`could not run: ${err.stack}\n`);
  process.exit(2);
}
