// Handles signals from the first statement on, so it comes before all other imports.
import '../services/program/node/processSignals.js';
import { runProgram } from '../services/program/node/runProgram.js';
import { entrySchema } from '../services/settings/common/settings.js';
import { loadSettings } from '../services/settings/node/loadSettings.js';
import { EntryProgram } from '../entry/node/entryProgram.js';

runProgram(
  'ibisspar-entry',
  (path) => loadSettings(path, entrySchema),
  (dependencies) => new EntryProgram(dependencies),
);
