import { runProgram } from '../platform/program/node/runProgram.js';
import { entrySchema } from '../platform/settings/common/settings.js';
import { loadSettings } from '../platform/settings/node/loadSettings.js';
import { EntryProgram } from '../entry/node/entryProgram.js';

runProgram(
  'ibisspar-entry',
  (path) => loadSettings(path, entrySchema),
  (parts) => new EntryProgram(parts),
);
