import { startFleet, waitFor } from '@auburngrade/testkit';
import { expect } from 'chai';

const PROBES = 12;

interface Calls {
  watches: number;
  readsPerS: number;
}

/** Open watches and reads per second at the platform of a quiet fleet in three data centres. */
const callsOf = async (vmsPerDataCentre: number, watches: number): Promise<Calls> => {
  const fleet = await startFleet({ vmsPerDataCentre, groups: [] });
  try {
    await fleet.settle();
    const counts = async () => fleet.platform.counts();
    await waitFor('watches of relays only', async () => (await counts()).watchesOpen === watches);
    const startedAtMs = performance.now();
    const before = (await counts()).range ?? 0;
    const after = await waitFor('some reads', async () => {
      const { range = 0 } = await counts();
      return range >= before + PROBES && range;
    });
    const elapsedS = (performance.now() - startedAtMs) / 1_000;
    return { watches: (await counts()).watchesOpen ?? 0, readsPerS: (after - before) / elapsedS };
  } finally {
    await fleet.stop();
  }
};

describe('calls to the platform', () => {
  it('do not grow with the VMs of a data centre beyond its two relays', async () => {
    const small = await callsOf(1, 6);
    const middle = await callsOf(2, 12);
    const large = await callsOf(3, 12);
    const figures = JSON.stringify({ small, middle, large });
    expect(large.watches, figures).to.equal(middle.watches);
    expect(large.readsPerS, figures).to.be.below(middle.readsPerS * 1.3);
    process.stdout.write(`      ${figures}\n`);
  });
});
