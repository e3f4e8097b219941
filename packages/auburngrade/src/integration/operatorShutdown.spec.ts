import { setTimeout as sleep } from 'node:timers/promises';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const VM = 'waco-1';
const DRAIN_TIMEOUT_MS = 1_500;
/** Time for the change to reach the platform, where it waits. */
const UNDER_WAY_MS = 300;
/** Longer than the notice and the servers' grace, shorter than the drain. */
const SLOW_LINK_DELAY_MS = 300;

describe("operators' changes while a VM stops", () => {
  let fleet: Fleet;

  beforeEach(async () => {
    fleet = await startFleet({
      dataCentres: ['waco'],
      hasFaultLinks: true,
      vmSettings: { shutdown: { noticeMs: 300, drainTimeoutMs: DRAIN_TIMEOUT_MS } },
    });
    await fleet.settle();
  });

  afterEach(async () => {
    await fleet.stop();
  });

  /** Writes a document; resolves with the verdict and code, or says that the call was cut. */
  const put = async (name: string): Promise<string> => {
    const client = fleet.operator(VM);
    const bodyJson = JSON.stringify({ openToAll: true, groups: ['auctions'] });
    const document = { kind: 'profile', name, bodyJson, expectedRevision: -1, changeId: name };
    return client
      .put(document)
      .then(
        ({ verdict, refusalCode }) => `${verdict} ${refusalCode}`.trim(),
        (error: Error) => `cut: ${error.message}`,
      )
      .finally(client.close);
  };

  it('are answered though the platform answers late', async () => {
    fleet.link(VM, 'platform').setDelayMs(SLOW_LINK_DELAY_MS);
    const answer = put('late');
    await sleep(UNDER_WAY_MS);
    fleet.vms.get(VM)?.signal('SIGTERM');
    expect(await answer).to.equal('ran');
  });

  it('are answered when the platform does not answer', async () => {
    fleet.link(VM, 'platform').setMode('dropAnswers');
    const answer = put('unanswered');
    await sleep(UNDER_WAY_MS);
    fleet.vms.get(VM)?.signal('SIGTERM');
    expect(await answer).to.match(/^(mayHaveRun|notRun) (shuttingDown|platformUnavailable)$/);
    expect(await fleet.vms.get(VM)?.exited).to.equal(0);
  });

  it('are refused as not made once it drains', async () => {
    fleet.vms.get(VM)?.signal('SIGTERM');
    await sleep(100);
    expect(await put('refused')).to.equal('notRun shuttingDown');
  });
});
