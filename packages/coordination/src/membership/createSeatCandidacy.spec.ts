import { expect } from 'chai';
import createSeatCandidacy from './createSeatCandidacy';

const OBSERVERS = 32;
const STEP_MS = 50;
/** Time from a successful application until the other observers know that the seat is taken. */
const NOTICE_MS = 150;

/** Replays a vacancy that all observers see at 0 ms; returns who applied, and when. */
const replayVacancy = (coresOf: (index: number) => number) => {
  const candidacies = Array.from({ length: OBSERVERS }, (_, index) =>
    createSeatCandidacy({
      cores: coresOf(index),
      random: () => ((index * 7) % OBSERVERS) / OBSERVERS,
    }),
  );
  const applications: { index: number; atMs: number }[] = [];
  for (let nowMs = 0; nowMs < 4_000; nowMs += STEP_MS) {
    const isVacant = !applications.some(({ atMs }) => nowMs - atMs > NOTICE_MS);
    const earlier = new Set(applications.map(({ index }) => index));
    candidacies.forEach((candidacy, index) => {
      if (candidacy.isDue(isVacant, nowMs) && !earlier.has(index)) {
        applications.push({ index, atMs: nowMs });
      }
    });
  }
  return applications;
};

describe('createSeatCandidacy', () => {
  it('lets a fraction of the observers apply for one vacant seat', () => {
    const applications = replayVacancy(() => 0.324);
    expect(applications.length).to.be.within(1, OBSERVERS / 3);
  });

  it('prefers VMs with more processor time', () => {
    const applications = replayVacancy((index) => (index % 4 === 0 ? 1.35 : 0.324));
    expect(applications.every(({ index }) => index % 4 === 0)).to.equal(true);
  });

  it('does not apply for a seat that is taken again within the time of a restart', () => {
    const candidacy = createSeatCandidacy({ cores: 1.35, random: () => 0 });
    expect(candidacy.isDue(true, 0)).to.equal(false);
    expect(candidacy.isDue(true, 350)).to.equal(false);
    expect(candidacy.isDue(false, 380)).to.equal(false);
    expect(candidacy.isDue(true, 450)).to.equal(false);
  });

  it('waits again after an application that failed', () => {
    const candidacy = createSeatCandidacy({ cores: 1.35, random: () => 0 });
    candidacy.isDue(true, 0);
    expect(candidacy.isDue(true, 400)).to.equal(true);
    candidacy.restart();
    expect(candidacy.isDue(true, 450)).to.equal(false);
    expect(candidacy.isDue(true, 850)).to.equal(true);
  });
});
