import { setTimeout as sleep } from 'node:timers/promises';
import { createConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import { waitFor } from '@auburngrade/testkit';
import { expect } from 'chai';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import createSlotKeeper from './createSlotKeeper';

const GROUPS = 150;
const LONGER_THAN_BURSTS_MS = 300;

const groupAt = (index: number, revision: number) => ({
  key: `/auburngrade/group/group-${index}`,
  valueJson: JSON.stringify({
    connectionBudget: 20 + revision,
    members: [{ name: 'm1', dataCentre: 'waco', host: 'h', port: 5_432, replicationPort: 5_433 }],
  }),
  modRevision: revision,
});

describe('createSlotKeeper', () => {
  let asked: string[];
  let keeper: ReturnType<typeof createSlotKeeper>;
  let configuration: ReturnType<typeof createConfigurationState>;

  beforeEach(async () => {
    asked = [];
    configuration = createConfigurationState();
    const groups = Array.from({ length: GROUPS }, (_, index) => groupAt(index, index + 1));
    configuration.applyChanges(GROUPS, groups);
    keeper = createSlotKeeper({
      vm: 'waco-1',
      incarnation: 1,
      platform: {} as Platform,
      platformTimeoutMs: 1,
      configuration,
      completeAtMs: () => 0,
      announce: async () => true,
      exchange: async () => ({}),
      logger: { info: () => {}, warn: () => {}, debug: () => {} } as unknown as Logger,
      nowMs: () => 0,
    });
    const chosen = (group: string): string[] => {
      asked.push(group);
      return ['waco-2'];
    };
    const membership = { chosen, isListed: () => true } as unknown as Membership;
    keeper.start({ membership, groups: {} as GroupRegistry, onHoldingChanged: () => {} });
    await waitFor('a look at every group', () => asked.length === GROUPS);
    asked = [];
  });

  afterEach(() => keeper.stop());

  it('looks at a changed group, and at no other', async () => {
    configuration.applyChanges(GROUPS + 1, [groupAt(7, GROUPS + 1)]);
    await sleep(LONGER_THAN_BURSTS_MS);
    expect(asked).to.deep.equal(['group-7']);
  });

  it('looks at every group after a change of the list', async () => {
    const valueJson = JSON.stringify({ dataCentre: 'waco', host: 'h', callerPort: 1, vmPort: 2 });
    configuration.applyChanges(GROUPS + 1, [
      { key: '/platform/vms/waco-3', valueJson, modRevision: GROUPS + 1 },
    ]);
    await waitFor('a look at every group', () => asked.length === GROUPS);
  });
});
