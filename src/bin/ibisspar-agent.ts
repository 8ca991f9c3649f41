import { AgentProgram } from '../agent/node/agentProgram.js';
import { runProgram } from '../platform/program/node/runProgram.js';
import { agentSchema } from '../platform/settings/common/settings.js';
import { loadSettings } from '../platform/settings/node/loadSettings.js';

runProgram(
  'ibisspar-agent',
  (path) => loadSettings(path, agentSchema),
  (parts) => new AgentProgram(parts),
);
