import { expect } from 'chai';
import {
  agentSchema,
  checkSettings,
  entrySchema,
  gatewaySchema,
  PromptPacingMode,
} from '../../common/settings.js';

const commonSettings = {
  place: 'ragusa',
  region: 'sicilia-est',
  linkPort: 0,
  platformUrl: 'http://127.0.0.1:1',
};

const gatewaySettings = {
  instance: 'gateway-1',
  place: 'ragusa',
  region: 'sicilia-est',
  host: '127.0.0.1',
  callerAddress: '127.0.0.1:0',
  readyAddress: '127.0.0.1:0',
  peerPort: 0,
  metricsPort: 0,
  storeAddress: '127.0.0.1:1',
  drainMs: 1_000,
  retryRatio: 0.2,
  retryWindowMs: 1_000,
  retrySlack: 1,
};

const entrySettings = { ...commonSettings, instance: 'entry-1', httpPort: 8080 };

function faultsOf(result: ReturnType<typeof checkSettings>): readonly string[] {
  return result.isErr() ? result.error.faults : [];
}

describe('settings', () => {
  it('are filled in with defaults', () => {
    const settings = checkSettings(entrySchema, entrySettings).unwrap();
    expect(settings.heartbeatMs).to.equal(500);
    expect(settings.claimShards).to.equal(64);
  });

  it('report all validation errors at once, with their paths', () => {
    const invalid = { ...entrySettings, instance: 'Entry 1', httpPort: 70_000, colour: 'red' };
    const faults = faultsOf(checkSettings(entrySchema, invalid));
    expect(faults.map((fault) => fault.split(':')[0]).sort()).to.deep.equal([
      'colour',
      'httpPort',
      'instance',
    ]);
  });

  it('pace prompts by default where priorities differ, and accept no other mode than the known ones', () => {
    const check = (changes: object) =>
      checkSettings(gatewaySchema, { ...gatewaySettings, ...changes });
    expect(check({}).unwrap().promptPacing).to.equal(PromptPacingMode.Auto);
    expect(check({ promptPacing: 'off' }).unwrap().promptPacing).to.equal(PromptPacingMode.Off);
    expect(faultsOf(check({ promptPacing: 'never' }))[0]).to.match(/^promptPacing: /);
  });

  it('reject a heartbeat deadline shorter than two heartbeat intervals', () => {
    const invalid = { ...entrySettings, heartbeatMs: 500, heartbeatDeadlineMs: 900 };
    expect(faultsOf(checkSettings(entrySchema, invalid))[0]).to.contain('heartbeatDeadlineMs');
  });

  it('reject an agent with both an engine and a service, or with neither', () => {
    const agentSettings = { ...commonSettings, instance: 'agent-1' };
    const engineUrl = 'http://127.0.0.1:2';
    const service = { name: 'booking', url: 'http://127.0.0.1:3' };
    expect(checkSettings(agentSchema, { ...agentSettings, engineUrl }).isOk()).to.equal(true);
    expect(checkSettings(agentSchema, { ...agentSettings, engineUrl, service }).isOk()).to.equal(
      false,
    );
    expect(checkSettings(agentSchema, agentSettings).isOk()).to.equal(false);
  });

  it('reject a service that is not reached over HTTP', () => {
    const service = { name: 'booking', url: 'ftp://127.0.0.1:3' };
    const invalid = { ...commonSettings, instance: 'agent-1', service };
    expect(faultsOf(checkSettings(agentSchema, invalid))[0]).to.contain('service.url');
  });

  const agentSettings = {
    ...commonSettings,
    instance: 'agent-1',
    service: { name: 'booking', url: 'http://127.0.0.1:3' },
  };

  // Guards against programs that don't start since a duration, size or count is a fraction.
  [
    { program: 'gateway', schema: gatewaySchema, settings: gatewaySettings },
    { program: 'entry', schema: entrySchema, settings: entrySettings },
    { program: 'agent', schema: agentSchema, settings: agentSettings },
  ].forEach(({ program, schema, settings }) => {
    it(`of the ${program} take fractions wherever they take whole figures above 1, but for ports`, () => {
      const figureKeys = Object.keys(schema.entries).filter((key) => {
        const check = checkSettings(schema, { ...settings, [key]: 2_000 });
        return !/port$/i.test(key) && check.isOk();
      });
      expect(figureKeys).to.include.members(['drainMs', 'memoryMb', 'maxDescriptors']);
      figureKeys.forEach((key) => {
        const checked = checkSettings(schema, { ...settings, [key]: 2_000.75 });
        const value: unknown = checked.unwrap()[key as keyof object];
        expect(value, key).to.be.within(2_000, 2_001);
        const isWhole = /(Ms|Bytes|maxDescriptors|Limit|Shards|Requests|Connections)$/.test(key);
        expect(!isWhole || Number.isInteger(value), key).to.equal(true);
      });
    });
  });

  it('take the capacity of a service as a fraction, rounded down', () => {
    const service = { ...agentSettings.service, capacity: 6.5 };
    const checked = checkSettings(agentSchema, { ...agentSettings, service }).unwrap();
    expect(checked.service?.capacity).to.equal(6);
  });

  it('take durations with a unit', () => {
    const durations = { '7.5s': 7_500, '250 ms': 250, '1m': 60_000, '1e-3s': 1, '0.0001s': 1 };
    Object.entries(durations).forEach(([text, ms]) => {
      const checked = checkSettings(entrySchema, { ...entrySettings, drainMs: text });
      expect(checked.unwrap().drainMs, text).to.equal(ms);
    });
    expect(
      checkSettings(entrySchema, { ...entrySettings, drainMs: '2000h' }).unwrap().drainMs,
    ).to.equal(2 ** 31 - 1);
    ['7.5', 's', '-1s', '1 day', '1s 2s', '0s'].forEach((text) => {
      const faults = faultsOf(checkSettings(entrySchema, { ...entrySettings, drainMs: text }));
      expect(faults[0], text).to.match(/^drainMs: /);
    });
  });

  it('refuse counts and durations that are no figure, negative or not finite', () => {
    [true, '8', -1, 0, NaN, Infinity, null].forEach((value) => {
      const invalid = { ...entrySettings, queueLimit: value, heartbeatMs: value };
      const paths = faultsOf(checkSettings(entrySchema, invalid)).map(
        (fault) => fault.split(':')[0],
      );
      expect([...new Set(paths)].sort(), String(value)).to.deep.equal([
        'heartbeatMs',
        'queueLimit',
      ]);
    });
  });
});
