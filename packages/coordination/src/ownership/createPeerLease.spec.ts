import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createHearing from './createHearing';
import createPeerLease from './createPeerLease';
import isOwnerGone from './isOwnerGone';
import type VmView from './vmView';

const LEASE_MS = 1_000;
const HEARD_WITHIN_MS = 1_100;
const HOLD_MS = 2_500;
const at = (ms: number, wallMs = ms) => ({ steadyMs: ms, wallMs });

describe('createPeerLease', () => {
  it('is held while half of the others confirm a heartbeat sent within the lease', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.send(7, at(0));
    expect(lease.isHeld(['b', 'c'], at(10))).to.equal(false);
    lease.confirm('b', 7);
    expect(lease.isHeld(['b', 'c'], at(LEASE_MS - 1))).to.equal(true);
    expect(lease.isHeld(['b', 'c'], at(LEASE_MS))).to.equal(false);
  });

  it('counts the time for which the VM was suspended', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.send(1, at(0));
    lease.confirm('b', 1);
    expect(lease.isHeld(['b'], at(50, 3_000))).to.equal(false);
  });

  it('ignores confirmations of heartbeats that this process did not send', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.send(5, at(0));
    lease.confirm('b', 4);
    lease.confirm('c', 6);
    expect(lease.isHeld(['b', 'c'], at(1))).to.equal(false);
  });

  it('ignores heartbeats from before a given one', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.send(1, at(0));
    lease.confirm('b', 1);
    expect(lease.isHeld(['b'], at(1), 2)).to.equal(false);
  });

  describe('against cuts and delays of each link, seeded', () => {
    /** Plays random links between VMs; returns how often the owner held its lease while it was gone. */
    const countOverlaps = (seed: number, heardWithinMs: number, holdMs: number): number => {
      const random = xoroshiro128plus(seed);
      // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
      const chance = (): number => (random.next() >>> 0) / 0x1_0000_0000;
      const names = ['a', 'b', 'c', 'd', 'e', 'f'];
      const isCut = new Map<string, boolean>();
      const heardAt = new Map<string, number>();
      const heardBeat = new Map<string, number>();
      const says = new Map<string, { hears: ReadonlySet<string>; isSettled: boolean }>();
      const key = (to: string, from: string): string => `${to}<${from}`;
      const hears = (vm: string, other: string, nowMs: number): boolean =>
        nowMs - (heardAt.get(key(vm, other)) ?? Number.NEGATIVE_INFINITY) < heardWithinMs;
      const inFlight: { dueMs: number; run(): void }[] = [];
      const lease = createPeerLease(LEASE_MS);
      const hearing = new Map(names.map((vm) => [vm, createHearing(holdMs)]));
      const state = (vm: string, other: string, nowMs: number): string =>
        hearing.get(vm)?.state(other, hears(vm, other, nowMs), nowMs > 2_000, nowMs) ?? 'silent';
      let overlaps = 0;
      for (let nowMs = 0; nowMs < 30_000; nowMs += 50) {
        inFlight.filter(({ dueMs }) => dueMs <= nowMs).forEach(({ run }) => run());
        inFlight.splice(0, inFlight.length, ...inFlight.filter(({ dueMs }) => dueMs > nowMs));
        if (nowMs % 250 === 0) {
          lease.send(nowMs, at(nowMs));
          const sentAtMs = nowMs;
          for (const from of names) {
            const heard = new Set(
              names.filter((vm) => vm !== from && state(from, vm, nowMs) !== 'silent'),
            );
            const isConfirmed = from !== 'a' && state(from, 'a', nowMs) === 'heard';
            const beatOfOwner = isConfirmed ? (heardBeat.get(from) ?? -1) : -1;
            for (const to of names.filter((vm) => vm !== from)) {
              const link = key(to, from);
              if (chance() < 0.02) isCut.set(link, !isCut.get(link));
              if (!isCut.get(link)) {
                inFlight.push({
                  dueMs: nowMs + chance() * 600,
                  run: () => {
                    // A stream delivers in order: what is older than the last is not seen.
                    if ((heardAt.get(link) ?? -1) >= sentAtMs) return;
                    heardAt.set(link, sentAtMs);
                    if (from === 'a') heardBeat.set(to, sentAtMs);
                    says.set(link, { hears: heard, isSettled: sentAtMs > 2_000 });
                    if (to === 'a') lease.confirm(from, beatOfOwner);
                  },
                });
              }
            }
          }
        }
        const view = (self: string): VmView[] =>
          names.map((vm) => ({
            vm,
            dataCentre: '',
            incarnation: '',
            isHeard: vm === self || hears(self, vm, nowMs),
            isSettled: vm === self ? nowMs > 2_000 : (says.get(key(self, vm))?.isSettled ?? false),
            isLeaving: false,
            isStrained: false,
            isStoreReachable: true,
            hears:
              vm === self
                ? new Set(names.filter((other) => state(self, other, nowMs) !== 'silent'))
                : (says.get(key(self, vm))?.hears ?? new Set(['a'])),
          }));
        const others = names.filter((vm) => vm !== 'a');
        const isHeld = lease.isHeld(others, at(nowMs));
        const owner = { vm: 'a', incarnation: '', isSettled: true };
        if (isHeld && others.some((vm) => isOwnerGone(owner, view(vm)))) overlaps += 1;
      }
      return overlaps;
    };

    const seeds = Array.from({ length: 40 }, (_, index) => index + 1);

    it('never holds while a majority calls the owner silent', () => {
      seeds.forEach((seed) =>
        expect(countOverlaps(seed, HEARD_WITHIN_MS, HOLD_MS), `seed ${seed}`).to.equal(0),
      );
    });

    it('would, were a VM that was called silent confirmed again at once', () => {
      const overlaps = seeds.map((seed) => countOverlaps(seed, HEARD_WITHIN_MS, 0));
      expect(Math.max(...overlaps)).to.be.above(0);
    });
  });
});
