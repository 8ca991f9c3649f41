import { expect } from 'chai';
import { FakeClock } from '../../../../base/test/common/fakeClock.js';
import { engine } from '../../../config/test/common/fixtures.js';
import { EndpointState, type Endpoint } from '../../../directory/common/endpoint.js';
import { CrossDataCentreBudget } from '../../../routing/common/crossDataCentreBudget.js';
import { PathFinder, type LayerPath } from '../../../routing/common/pathFinder.js';
import { ReservationLedger } from '../../../routing/common/reservationLedger.js';
import { ModelAdmission, RefusalReason } from '../../common/modelAdmission.js';

const whole: Endpoint = {
  id: 'e',
  startedMs: 1,
  service: 's',
  address: 'e',
  dataCentre: 'a',
  state: EndpointState.Ready,
  slots: 2,
  card: 'huge',
  layers: { from: 0, to: 80 },
};

const hugeEngine = {
  ...engine,
  cards: new Map([['huge', { memoryMb: 300_000, stepFactor: 1, prefillFactor: 1 }]]),
};

describe('ModelAdmission', () => {
  let clock: FakeClock;
  let ledger: ReservationLedger;
  let endpoints: Endpoint[];
  let admission: ModelAdmission;

  const requestAt = (changes: object = {}) => ({
    promptTokens: 100,
    reservedTokens: 100,
    arrivedMs: clock.monotonicMs(),
    objectiveMs: 500,
    maxWaitMs: 1_000,
    isResumed: false,
    ...changes,
  });

  const admit = async (changes: object = {}): Promise<LayerPath> =>
    (await admission.request(requestAt(changes)).outcome).unwrap();

  const release = (path: LayerPath): void => {
    ledger.release(path.reservations);
    admission.admitWaiting();
  };

  beforeEach(() => {
    clock = new FakeClock();
    ledger = new ReservationLedger(clock);
    endpoints = [whole];
    const finder = new PathFinder(() => hugeEngine, ledger);
    const crossing = new CrossDataCentreBudget(
      () => hugeEngine,
      () => 5,
      clock,
    );
    admission = new ModelAdmission(finder, () => endpoints, ledger, crossing, clock);
  });

  it('admits at once while there is room', async () => {
    await admit();
    await admit();
    expect(ledger.loadAt('e').firstStageRequests).to.equal(2);
    expect(admission.queueLength).to.equal(0);
  });

  it('lets a request wait for room and admits it when some becomes free', async () => {
    const first = await admit();
    await admit();
    const waiting = admission.request(requestAt());
    expect(admission.queueLength).to.equal(1);
    release(first);
    expect((await waiting.outcome).isOk()).to.equal(true);
  });

  it('refuses at once, with a time to come back, when no endpoints cover the layers', async () => {
    endpoints = [];
    const outcome = await admission.request(requestAt()).outcome;
    expect(outcome.unwrapErr()).to.include({ reason: RefusalReason.NoPath });
    expect(outcome.unwrapErr().retryAfterMs).to.be.greaterThan(0);
  });

  it('refuses at once those who would wait longer than they can', async () => {
    await admit();
    await admit();
    const outcomes = Array.from({ length: 40 }, () => admission.request(requestAt()).outcome);
    const refused = await Promise.race([outcomes[39], Promise.resolve('waits' as const)]);
    expect(refused).to.not.equal('waits');
    expect((await outcomes[39]).unwrapErr().reason).to.equal(RefusalReason.QueueFull);
    expect(admission.queueLength).to.be.lessThan(20);
    admission.close();
  });

  it('refuses a request whose wait is over', async () => {
    await admit();
    await admit();
    const waiting = admission.request(requestAt());
    for (let step = 0; step < 50; step += 1) {
      clock.advance(25);
    }
    expect((await waiting.outcome).unwrapErr().reason).to.equal(RefusalReason.WaitTimeout);
  });

  it('serves broken streams first, then those still on time, then the rest', async () => {
    const first = await admit();
    await admit();
    const order: string[] = [];
    const wait = (name: string, changes: object) => {
      void admission.request(requestAt(changes)).outcome.then((outcome) => {
        order.push(name);
        outcome.map(release);
      });
    };
    clock.advance(2_000);
    wait('late', { arrivedMs: 0, maxWaitMs: 5_000 });
    wait('fresh', {});
    wait('resumed', { arrivedMs: 100, isResumed: true });
    release(first);
    for (let step = 0; step < 10; step += 1) {
      await Promise.resolve();
    }
    expect(order).to.deep.equal(['resumed', 'fresh', 'late']);
  });

  it('gives the place up of a caller that left', async () => {
    await admit();
    await admit();
    const ticket = admission.request(requestAt());
    ticket.cancel();
    expect((await ticket.outcome).unwrapErr().reason).to.equal(RefusalReason.Cancelled);
    expect(admission.queueLength).to.equal(0);
  });

  it('sends no more to an endpoint that was full than it held, until something ends there', async () => {
    endpoints = [{ ...whole, slots: 10 }];
    const large = { reservedTokens: 45_000 };
    const small = { reservedTokens: 12_000 };
    const paths = [await admit(large), await admit(large), await admit(small)];
    release(await admit(small));
    expect(admission.recordRefusal('e', true)).to.equal(true);
    const waiting = admission.request(requestAt(small));
    clock.advance(100);
    expect(admission.queueLength).to.equal(1);
    release(paths[0]);
    expect((await waiting.outcome).isOk()).to.equal(true);
  });

  it('does not learn the room of an endpoint from a refusal while it is nearly empty', async () => {
    expect(admission.recordRefusal('e', true)).to.equal(false);
    await admit();
    await admit();
    expect(admission.queueLength).to.equal(0);
  });

  it('sends no more over the links between data centres than they carry, however many requests come', async () => {
    endpoints = [
      { ...whole, address: 'front', slots: 10_000, layers: { from: 0, to: 40 } },
      { ...whole, address: 'back', dataCentre: 'b', layers: { from: 40, to: 80 } },
    ];
    const paths: LayerPath[] = [];
    const serve = (path: LayerPath): void => {
      paths.push(path);
      ledger.release(path.reservations);
    };
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 10) {
      const { outcome } = admission.request(requestAt({ reservedTokens: 800, maxWaitMs: 1 }));
      void outcome.then((settled) => settled.map(serve));
      clock.advance(10);
      await Promise.resolve();
    }
    const crossed = paths.reduce((total, { crossings }) => total + crossings, 0);
    const bytesPerSecond = (18_000 * 1e6) / 8 / 5;
    const share = (crossed * 800 * hugeEngine.activationBytesPerToken) / 10 / bytesPerSecond;
    expect(share).to.be.greaterThan(0.3).and.lessThan(0.5);
  });
});
