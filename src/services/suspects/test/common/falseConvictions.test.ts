import { expect } from 'chai';
import { PartSimulation, type PartScenario } from './partSimulation.js';

/** Share of the sound prompts that may be refused for parts quarantined wrongly. */
const maxRefusedShare = 0.01;

/** Number of runs of prompts with a deadly part that the users tolerate once it must be known. */
const toleratedRuns = 3;

const scenario: Omit<PartScenario, 'seed'> = {
  policy: {
    isolationCrashes: 2,
    quarantineCrashes: 3,
    runnerTimeoutMs: 5_000,
    maxBankedSurvivals: 6,
  },
  gateways: 5,
  endpoints: 33,
  promptsPerSecond: 40,
  firstParts: 60,
  warmUpMs: 20_000,
  endpointsPerWave: 0,
  badShare: 0,
};

describe('convictions of parts in simulated days', () => {
  const days: Readonly<Record<string, Partial<PartScenario>>> = {
    'while two thirds of the endpoints crash of other causes again and again': {
      endpointsPerWave: 22,
    },
    'while endpoints crash of other causes before any gateway has seen a survival': {
      endpointsPerWave: 11,
      warmUpMs: 0,
    },
    'beside a deadly part': { badShare: 0.05 },
    'beside a deadly part and crashes of other causes': { badShare: 0.02, endpointsPerWave: 4 },
  };

  Object.entries(days).forEach(([when, changes]) => {
    it(`refuse hardly any sound prompt ${when}`, () => {
      [1, 2].forEach((seed) => {
        const outcome = new PartSimulation({ ...scenario, ...changes, seed }).run();
        const { soundPrompts, refusedPrompts, lateRuns } = outcome;
        expect(refusedPrompts / soundPrompts, `seed ${seed}`).to.be.at.most(maxRefusedShare);
        expect(lateRuns, `seed ${seed}`).to.be.at.most(toleratedRuns);
      });
    });
  });
});
