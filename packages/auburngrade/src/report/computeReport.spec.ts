import { profileSchema } from '@auburngrade/coordination';
import { expect } from 'chai';
import computeReport from './computeReport';
import renderReportHtml from './renderReportHtml';
import renderReportText from './renderReportText';
import type RequestCounters from './requestCounters';
import type Sample from './sample';

const MINUTE_MS = 60_000;
const { objectives } = profileSchema.parse({});
const objectivesOf = () => objectives;

const createCounters = (ran: number, refused: Record<string, number> = {}): RequestCounters => ({
  profile: 'bids',
  account: 'ranch',
  ran,
  refused,
  withinS: { 0.05: Math.max(0, ran - 1), 0.1: ran, 0.5: ran },
});

const sample = (atMs: number, vms: Record<string, RequestCounters | undefined>): Sample => ({
  atMs,
  vms: Object.fromEntries(
    Object.entries(vms).map(([vm, found]) => [
      vm,
      found
        ? { kind: 'reached', counters: [found] }
        : { kind: 'unreachable', message: 'connect ECONNREFUSED' },
    ]),
  ),
});

describe('service-level report', () => {
  describe('burn', () => {
    it('is the share of own faults over the share that the objective allows', () => {
      const first = sample(0, { a: createCounters(0) });
      const last = sample(MINUTE_MS, { a: createCounters(998, { noPrimary: 2 }) });
      const [burn] = computeReport([first, last], objectivesOf).whole;
      expect(burn?.availability.rate).to.be.closeTo(2, 1e-9);
      expect(burn?.ownFaults).to.deep.equal({ noPrimary: 2 });
    });

    it('leaves out refusals over the rate and errors of callers', () => {
      const refused = { rateExceeded: 50, badRequest: 7, statementFailed: 1 };
      const samples = [
        sample(0, { a: createCounters(0) }),
        sample(1, { a: createCounters(10, refused) }),
      ];
      const [burn] = computeReport(samples, objectivesOf).whole;
      expect(burn?.availability).to.deep.equal({ good: 10, bad: 0, rate: 0 });
      expect([burn?.overRate, burn?.callerErrors]).to.deep.equal([50, 8]);
    });

    it('counts a code that is not known as an own fault', () => {
      const samples = [
        sample(0, { a: createCounters(0) }),
        sample(1, { a: createCounters(9, { later: 1 }) }),
      ];
      expect(computeReport(samples, objectivesOf).whole[0]?.availability.bad).to.equal(1);
    });

    it('counts as slow what is not within a bound below the objective', () => {
      const slow = { ...createCounters(100), withinS: { 0.05: 90, 0.25: 100 } };
      const [burn] = computeReport(
        [sample(0, { a: createCounters(0) }), sample(1, { a: slow })],
        objectivesOf,
      ).whole;
      expect(burn?.latency.bad).to.equal(10);
      expect(burn?.latency.rate).to.be.closeTo(10, 1e-9);
    });
  });

  describe('samples', () => {
    it('of a restarted VM and of a VM that started later count whole', () => {
      const samples = [
        sample(0, { a: createCounters(100) }),
        sample(1, { a: createCounters(5), b: createCounters(7) }),
      ];
      expect(computeReport(samples, objectivesOf).whole[0]?.availability.good).to.equal(12);
    });

    it('bridge a time in which a VM could not be reached', () => {
      const samples = [
        sample(0, { a: createCounters(100) }),
        sample(1, { a: undefined }),
        sample(2, { a: createCounters(130) }),
      ];
      expect(computeReport(samples, objectivesOf).whole[0]?.availability.good).to.equal(30);
    });

    it('of a VM first reached later do not count what was before', () => {
      const samples = [
        sample(0, { a: undefined }),
        sample(1, { a: createCounters(1_000) }),
        sample(2, { a: createCounters(1_001) }),
      ];
      expect(computeReport(samples, objectivesOf).whole[0]?.availability.good).to.equal(1);
    });
  });

  describe('pairs of windows', () => {
    const createMinuteSamples = (
      length: number,
      faultsAt: (minute: number) => number,
    ): Sample[] => {
      let faults = 0;
      return Array.from({ length }, (_, minute) => {
        faults += faultsAt(minute);
        return sample(minute * MINUTE_MS, {
          a: createCounters(minute * 100, { noPrimary: faults }),
        });
      });
    };

    it('burn while the fault lasts', () => {
      const report = computeReport(
        createMinuteSamples(62, (minute) => (minute > 40 ? 10 : 0)),
        objectivesOf,
      );
      expect(report.burning.find(({ name }) => name === 'fast')?.routes).to.deep.equal([
        'bids/ranch',
      ]);
    });

    it('end soon after the fault', () => {
      const faultsAt = (minute: number) => (minute > 20 && minute < 50 ? 10 : 0);
      const report = computeReport(createMinuteSamples(62, faultsAt), objectivesOf);
      expect(report.burning.find(({ name }) => name === 'fast')?.routes).to.deep.equal([]);
    });

    it('say when the samples do not cover a window', () => {
      const report = computeReport(
        createMinuteSamples(10, () => 0),
        objectivesOf,
      );
      const covered = report.windows.map(({ isCovered }) => isCovered);
      expect(covered[0]).to.equal(true);
      expect(covered.at(-1)).to.equal(false);
    });
  });

  describe('a VM that cannot be reached', () => {
    it('is named in every form of the report', () => {
      const report = computeReport([sample(0, { 'a:1': undefined })], objectivesOf);
      expect(renderReportText(report)).to.include('a:1').and.to.include('ECONNREFUSED');
      expect(renderReportHtml(report)).to.include('a:1').and.to.include('ECONNREFUSED');
    });
  });
});
