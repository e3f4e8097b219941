import {
  createConfigurationState,
  documentKinds,
  groupSchema,
  type TermRecord,
} from '@auburngrade/coordination';
import { expect } from 'chai';
import type GroupClient from '../groups/groupClient';
import createPromotionPlan from './createPromotionPlan';
import type PromotionReason from './promotionReason';

const DATA_CENTRES = ['waco', 'temple', 'waco', 'bryan'];
const NAMES = ['m1', 'm2', 'm3', 'm4'];
const RECORD: TermRecord = { term: 1, state: 'active', primary: 'm1', voters: NAMES, history: [] };

const plan = (reason: PromotionReason, evacuated: string[]) => {
  const configuration = createConfigurationState();
  const entries = evacuated.map((dataCentre, index) => ({
    key: documentKinds.dataCentre.prefix + dataCentre,
    valueJson: JSON.stringify({ state: 'evacuated' }),
    modRevision: index + 1,
  }));
  configuration.applyChanges(evacuated.length, entries);
  const members = NAMES.map((name, index) => ({
    name,
    dataCentre: DATA_CENTRES[index],
    host: '127.0.0.1',
    port: 1 + index,
    replicationPort: 10 + index,
  }));
  const group = groupSchema.parse({ members, connectionBudget: 24 });
  const groupClient = { group, statuses: () => [], voters: () => NAMES } as Partial<GroupClient>;
  return createPromotionPlan(
    groupClient as GroupClient,
    configuration,
    RECORD,
    7,
    'waco-1/1',
    reason,
  );
};

describe('createPromotionPlan', () => {
  describe('with the primary in an evacuated data centre', () => {
    it('keeps members there as voters and lets none of them be promoted', () => {
      const { members, eligible, isPlanned } = plan('evacuated', ['waco']);
      expect(members).to.deep.equal(NAMES);
      expect(eligible).to.deep.equal(['m2', 'm4']);
      expect(isPlanned).to.equal(true);
    });

    it('lets a member of no other evacuated data centre take its place when it is lost', () => {
      expect(plan('silent', ['waco', 'bryan']).eligible).to.deep.equal(['m2']);
    });

    it('keeps it when only the voters change', () => {
      expect(plan('members', ['waco']).eligible).to.deep.equal(['m1', 'm2', 'm4']);
    });
  });
});
