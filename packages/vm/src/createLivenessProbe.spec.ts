import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import createLivenessProbe from './createLivenessProbe';

describe('createLivenessProbe', () => {
  const create = (isAnswering: () => boolean) => {
    const counts = { pings: 0 };
    const ping = async (): Promise<void> => {
      counts.pings += 1;
      if (!isAnswering()) throw new Error('no answer');
    };
    const probe = createLivenessProbe({ ping, nowMs: () => performance.now() });
    return { counts, probe };
  };

  describe('with calls that are answered within the probe delay', () => {
    it('sends no ping', async () => {
      const { counts, probe } = create(() => true);
      for (let index = 0; index < 10; index += 1) await probe.track(() => sleep(50));
      expect(counts.pings).to.equal(0);
      probe.close();
    });
  });

  describe('with a slow call to a peer that answers pings', () => {
    it('does not report the peer as silent, and sends one ping', async () => {
      const { counts, probe } = create(() => true);
      let isReported = false;
      await probe.track(
        () => sleep(900),
        () => {
          isReported = true;
        },
      );
      expect(isReported).to.equal(false);
      expect(counts.pings).to.equal(1);
      probe.close();
    });
  });

  describe('with a peer that does not answer', () => {
    it('reports the peer as silent while the call waits, and pings it until it answers', async () => {
      let isAnswering = false;
      const { probe } = create(() => isAnswering);
      const silent = await new Promise<string>((resolve) => {
        probe.track(
          () => sleep(2_000),
          () => resolve('silent'),
        );
      });
      expect(silent).to.equal('silent');
      expect(probe.isSilent()).to.equal(true);
      isAnswering = true;
      await sleep(800);
      expect(probe.isSilent()).to.equal(false);
      probe.close();
    });
  });
});
