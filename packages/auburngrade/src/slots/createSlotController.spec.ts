import { setTimeout as sleep } from 'node:timers/promises';
import { createConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import { waitFor } from '@auburngrade/testkit';
import { expect } from 'chai';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import createSlotController from './createSlotController';

const GROUP_COUNT = 150;
const AFTER_BURST_DELAY_MS = 300;

const createGroupEntry = (index: number, revision: number) => ({
  key: `/auburngrade/group/group-${index}`,
  valueJson: JSON.stringify({
    connectionBudget: 20 + revision,
    members: [{ name: 'm1', dataCentre: 'waco', host: 'h', port: 5_432, replicationPort: 5_433 }],
  }),
  modRevision: revision,
});

describe('createSlotKeeper', () => {
  let reconciledGroups: string[];
  let slotKeeper: ReturnType<typeof createSlotController>;
  let configuration: ReturnType<typeof createConfigurationState>;

  beforeEach(async () => {
    reconciledGroups = [];
    configuration = createConfigurationState();
    const groups = Array.from({ length: GROUP_COUNT }, (_, index) =>
      createGroupEntry(index, index + 1),
    );
    configuration.applyChanges(GROUP_COUNT, groups);
    slotKeeper = createSlotController({
      vm: 'waco-1',
      incarnation: 1,
      platform: {} as ConfigurationStore,
      platformTimeoutMs: 1,
      configuration,
      completeAtMs: () => 0,
      announceWrite: async () => true,
      send: async () => ({}),
      logger: { info: () => {}, warn: () => {}, debug: () => {} } as unknown as Logger,
      nowMs: () => 0,
    });
    const findChosenVms = (group: string): string[] => {
      reconciledGroups.push(group);
      return ['waco-2'];
    };
    const membership = { findChosenVms, isRegisteredVm: () => true } as unknown as Membership;
    slotKeeper.start({ membership, groups: {} as GroupRegistry, onSlotUseChanged: () => {} });
    await waitFor('reconciliation of every group', () => reconciledGroups.length === GROUP_COUNT);
    reconciledGroups = [];
  });

  afterEach(() => slotKeeper.stop());

  it('reconciles a changed group and no other', async () => {
    configuration.applyChanges(GROUP_COUNT + 1, [createGroupEntry(7, GROUP_COUNT + 1)]);
    await sleep(AFTER_BURST_DELAY_MS);
    expect(reconciledGroups).to.deep.equal(['group-7']);
  });

  it('reconciles every group after a change of the VM list', async () => {
    const valueJson = JSON.stringify({ dataCentre: 'waco', host: 'h', callerPort: 1, vmPort: 2 });
    configuration.applyChanges(GROUP_COUNT + 1, [
      { key: '/platform/vms/waco-3', valueJson, modRevision: GROUP_COUNT + 1 },
    ]);
    await waitFor('reconciliation of every group', () => reconciledGroups.length === GROUP_COUNT);
  });
});
