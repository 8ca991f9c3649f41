// Handles signals from the first statement on, so it comes before all other imports.
import '../services/program/node/processSignals.js';
import { AgentProgram } from '../agent/node/agentProgram.js';
import { runProgram } from '../services/program/node/runProgram.js';
import { agentSchema } from '../services/settings/common/settings.js';
import { loadSettings } from '../services/settings/node/loadSettings.js';

runProgram(
  'ibisspar-agent',
  (path) => loadSettings(path, agentSchema),
  (dependencies) => new AgentProgram(dependencies),
);
