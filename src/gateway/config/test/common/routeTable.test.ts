import { expect } from 'chai';
import { SeededRandom } from '../../../../base/common/random.js';
import { RouteTable, Verdict } from '../../common/routeTable.js';
import { configWith, routeWith } from './fixtures.js';

const random = new SeededRandom(7);

function decide(table: RouteTable, target: string, apiKey?: string, host = 'a.example') {
  return table.decide({ host, target, apiKey }, random);
}

describe('RouteTable', () => {
  const table = new RouteTable(
    configWith({
      routes: [
        routeWith({ name: 'short', pathPrefix: '/a/' }),
        routeWith({ name: 'long', pathPrefix: '/a/b/' }),
        routeWith({ name: 'open', pathPrefix: '/open/', isPublic: true }),
        routeWith({ name: 'other', host: 'b.example' }),
      ],
    }),
  );

  it('selects the route of the host with the longest matching path prefix', () => {
    expect(decide(table, '/a/b/c', 'key')).to.have.nested.property('route.name', 'long');
    expect(decide(table, '/a/c/b/', 'key')).to.have.nested.property('route.name', 'short');
    expect(decide(table, '/a/x', 'key', 'b.example')).to.have.nested.property(
      'route.name',
      'other',
    );
  });

  it('ignores the port and case of the host, and the query', () => {
    expect(decide(table, '/a/x?y=/a/b/', 'key', 'A.Example:80')).to.have.nested.property(
      'route.name',
      'short',
    );
  });

  it('finds no route for an unmatched path or an unknown host', () => {
    expect(decide(table, '/a', 'key').verdict).to.equal(Verdict.NoRoute);
    expect(decide(table, '/ab/', 'key').verdict).to.equal(Verdict.NoRoute);
    expect(decide(table, '/a/x', 'key', 'c.example').verdict).to.equal(Verdict.NoRoute);
  });

  it('requires a known key unless the route is public', () => {
    expect(decide(table, '/a/x').verdict).to.equal(Verdict.UnknownKey);
    expect(decide(table, '/a/x', 'stolen').verdict).to.equal(Verdict.UnknownKey);
    expect(decide(table, '/a/x', 'key')).to.have.property('organisation', 'org');
    expect(decide(table, '/open/x')).to.include({
      verdict: Verdict.Allowed,
      organisation: undefined,
    });
  });

  it('requires no key if the configuration has no organisations', () => {
    const open = new RouteTable(configWith({ organisationByKey: undefined }));
    expect(decide(open, '/a/x').verdict).to.equal(Verdict.Allowed);
  });

  it('refuses all keys if no organisation holds one', () => {
    const routes = [routeWith({}), routeWith({ pathPrefix: '/open/', isPublic: true })];
    const closed = new RouteTable(configWith({ routes, organisationByKey: new Map() }));
    expect(decide(closed, '/a/x').verdict).to.equal(Verdict.UnknownKey);
    expect(decide(closed, '/a/x', 'key').verdict).to.equal(Verdict.UnknownKey);
    expect(decide(closed, '/open/x', 'key').verdict).to.equal(Verdict.Allowed);
  });

  // Guards against a service that gets the requests of a longer prefix whose list of services is empty.
  it('finds no route if the longest prefix has no service, whatever a shorter one has', () => {
    const nested = routeWith({ pathPrefix: '/a/b/', targets: [] });
    const routes = new RouteTable(configWith({ routes: [routeWith({}), nested] }));
    expect(decide(routes, '/a/b/x', 'key').verdict).to.equal(Verdict.NoRoute);
    expect(decide(routes, '/a/x', 'key').verdict).to.equal(Verdict.Allowed);
  });

  it('distributes requests over services by weight', () => {
    const targets = [
      { service: 'one', weight: 90 },
      { service: 'two', weight: 10 },
    ];
    const split = new RouteTable(configWith({ routes: [routeWith({ targets })] }));
    let servedByTwo = 0;
    for (let count = 0; count < 2_000; count += 1) {
      const decision = decide(split, '/a/x', 'key');
      servedByTwo += decision.verdict === Verdict.Allowed && decision.service === 'two' ? 1 : 0;
    }
    expect(servedByTwo).to.be.within(140, 260);
  });
});
