import { expect } from 'chai';
import { agentSchema, checkSettings, entrySchema } from '../../common/settings.js';

const common = {
  place: 'ragusa',
  region: 'sicilia-est',
  linkPort: 0,
  platformUrl: 'http://127.0.0.1:1',
};

const entry = { ...common, instance: 'entry-1', httpPort: 8080 };

function faultsOf(result: ReturnType<typeof checkSettings>): readonly string[] {
  return result.isErr() ? result.error.faults : [];
}

describe('settings', () => {
  it('fill in defaults', () => {
    const settings = checkSettings(entrySchema, entry).unwrap();
    expect(settings.heartbeatMs).to.equal(500);
    expect(settings.claimShards).to.equal(64);
  });

  it('report every fault at once, with its path', () => {
    const faulty = { ...entry, instance: 'Entry 1', httpPort: 70_000, colour: 'red' };
    const faults = faultsOf(checkSettings(entrySchema, faulty));
    expect(faults.map((fault) => fault.split(':')[0]).sort()).to.deep.equal([
      'colour',
      'httpPort',
      'instance',
    ]);
  });

  it('refuse a heartbeat deadline shorter than two heartbeats', () => {
    const faulty = { ...entry, heartbeatMs: 500, heartbeatDeadlineMs: 900 };
    expect(faultsOf(checkSettings(entrySchema, faulty))[0]).to.contain('heartbeatDeadlineMs');
  });

  it('refuse an agent with both an engine and a service, or with neither', () => {
    const agent = { ...common, instance: 'agent-1' };
    const engineUrl = 'http://127.0.0.1:2';
    const service = { name: 'booking', url: 'http://127.0.0.1:3' };
    expect(checkSettings(agentSchema, { ...agent, engineUrl }).isOk()).to.equal(true);
    expect(checkSettings(agentSchema, { ...agent, engineUrl, service }).isOk()).to.equal(false);
    expect(checkSettings(agentSchema, agent).isOk()).to.equal(false);
  });
});
