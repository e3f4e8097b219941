import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  createPromotion,
  traceLineSchema,
  type PromotionPlan,
  type TraceLine,
} from '@auburngrade/coordination';
import { ConfigurationDriver, PromotionDriver, replayTrace } from '@auburngrade/testkit';
import { expect } from 'chai';
import createTraceRecorder from './createTraceRecorder';
import recordPromotion from './recordPromotion';

/** Gives a value the form that it has in a trace. */
const toJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

const read = (name: string): string => readFileSync(join(import.meta.dirname, name), 'utf8');

describe('recorded traces', () => {
  describe('configurationState', () => {
    it('keeps to the stated outcomes when the store answers from the past', () => {
      const text = read('staleStoreAnswers.jsonl');
      expect(replayTrace(text, 'configurationState', new ConfigurationDriver())).to.deep.equal([]);
    });

    it('keeps to the stated outcomes when a VM knows its own write ahead of the rest', () => {
      const text = read('ownWriteAhead.jsonl');
      expect(replayTrace(text, 'configurationState', new ConfigurationDriver())).to.deep.equal([]);
    });
  });

  describe('promotion', () => {
    it('replaces a killed primary by the actions that the daemon took', () => {
      const driver = new PromotionDriver();
      const text = read('promotionOfKilledPrimary.jsonl');
      expect(replayTrace(text, 'promotion', driver)).to.deep.equal([]);
      const order = driver
        .actionKinds()
        .filter((kind) => ['claim', 'promote', 'publish'].includes(kind));
      expect(order).to.deep.equal(['claim', 'promote', 'publish']);
    });

    it('promotes nobody after a pause in which another VM took over', () => {
      const driver = new PromotionDriver();
      const text = read('promotionOfPausedPromoter.jsonl');
      expect(replayTrace(text, 'promotion', driver)).to.deep.equal([]);
      expect(driver.actionKinds()).not.to.include('promote');
      expect(driver.actionKinds()).not.to.include('publish');
    });

    it('shows a decision that has changed', () => {
      const text = read('promotionOfKilledPrimary.jsonl').replace(
        /"kind":"promote"/g,
        '"kind":"poll"',
      );
      expect(replayTrace(text, 'promotion', new PromotionDriver())).not.to.deep.equal([]);
    });
  });

  describe('the recorder', () => {
    it('writes lines that the schema accepts and a replay confirms', () => {
      const lines: TraceLine[] = [];
      const note = (_event: string, fields?: Record<string, unknown>): void => {
        lines.push(traceLineSchema.parse(toJson(fields?.line)));
      };
      const logger = { debug: note, info: note, warn: note, error: note };
      const plan: PromotionPlan = {
        promoter: 'waco-1/1',
        term: 2,
        base: { term: 1, state: 'active', voters: ['m1', 'm2', 'm3'], history: [] },
        baseRevision: 4,
        voters: ['m1', 'm2', 'm3'],
        members: ['m1', 'm2', 'm3'],
        eligible: ['m2', 'm3'],
        avoided: undefined,
        isPlanned: false,
      };
      const recorder = createTraceRecorder({
        logger,
        decision: 'promotion',
        trace: 'auctions/2',
        startedAtMs: 100,
      });
      const promotion = recordPromotion(createPromotion(plan), plan, recorder, 100);
      promotion.handle({ kind: 'start' }, 101);
      promotion.handle({ kind: 'written', revision: 5 }, 105);
      const text = lines.map((line) => JSON.stringify(line)).join('\n');
      expect(lines).to.have.length(8);
      expect(replayTrace(text, 'promotion', new PromotionDriver())).to.deep.equal([]);
    });
  });
});
