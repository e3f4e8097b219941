import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import createPeerReporter from './createPeerReporter';
import createPeerLease from './createPeerLease';
import hasLostOwner from './hasLostOwner';
import type VmView from './vmView';

const LEASE_MS = 1_000;
const HEARD_WITHIN_MS = 1_100;
const CONFIRMATION_DELAY_MS = 2_500;
/** Whether half of the others, a majority with this VM, confirm. */
const isHeld = (
  lease: ReturnType<typeof createPeerLease>,
  others: readonly string[],
  ...rest: [now: { steadyMs: number; wallMs: number }, sinceBeat?: number]
): boolean => lease.listConfirming(others, ...rest).length * 2 >= others.length;
const at = (ms: number, wallMs = ms) => ({ steadyMs: ms, wallMs });

describe('createPeerLease', () => {
  it('is valid while half of the other VMs confirm a heartbeat sent within the lease time', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.recordSent(7, at(0));
    expect(isHeld(lease, ['b', 'c'], at(10))).to.equal(false);
    lease.recordConfirmation('b', 7);
    expect(isHeld(lease, ['b', 'c'], at(LEASE_MS - 1))).to.equal(true);
    expect(isHeld(lease, ['b', 'c'], at(LEASE_MS))).to.equal(false);
  });

  it('expires while the VM is suspended', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.recordSent(1, at(0));
    lease.recordConfirmation('b', 1);
    expect(isHeld(lease, ['b'], at(50, 3_000))).to.equal(false);
  });

  it('ignores confirmations of heartbeats that this process did not send', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.recordSent(5, at(0));
    lease.recordConfirmation('b', 4);
    lease.recordConfirmation('c', 6);
    expect(isHeld(lease, ['b', 'c'], at(1))).to.equal(false);
  });

  it('ignores heartbeats sent before a given heartbeat', () => {
    const lease = createPeerLease(LEASE_MS);
    lease.recordSent(1, at(0));
    lease.recordConfirmation('b', 1);
    expect(isHeld(lease, ['b'], at(1), 2)).to.equal(false);
  });

  describe('with seeded partitions and delays on each link', () => {
    /** Simulates unreliable links; returns how often the owner's lease was valid while a VM considered it lost. */
    const countLeaseOverlaps = (
      seed: number,
      heardWithinMs: number,
      confirmationDelayMs: number,
    ): number => {
      const random = xoroshiro128plus(seed);
      // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
      const nextRandom = (): number => (random.next() >>> 0) / 0x1_0000_0000;
      const names = ['a', 'b', 'c', 'd', 'e', 'f'];
      const isCut = new Map<string, boolean>();
      const heardAtMsByLink = new Map<string, number>();
      const ownerHeartbeatByVm = new Map<string, number>();
      const reportsByLink = new Map<string, { hears: ReadonlySet<string>; isSettled: boolean }>();
      const linkKey = (to: string, from: string): string => `${to}<${from}`;
      const hears = (vm: string, other: string, nowMs: number): boolean =>
        nowMs - (heardAtMsByLink.get(linkKey(vm, other)) ?? Number.NEGATIVE_INFINITY) <
        heardWithinMs;
      const inFlight: { dueMs: number; run(): void }[] = [];
      const lease = createPeerLease(LEASE_MS);
      const reportersByVm = new Map(
        names.map((vm) => [vm, createPeerReporter(confirmationDelayMs)]),
      );
      const reportOn = (vm: string, other: string, nowMs: number): string =>
        reportersByVm.get(vm)?.state(other, hears(vm, other, nowMs), nowMs > 2_000, nowMs) ??
        'silent';
      let overlaps = 0;
      for (let nowMs = 0; nowMs < 30_000; nowMs += 50) {
        inFlight.filter(({ dueMs }) => dueMs <= nowMs).forEach(({ run }) => run());
        inFlight.splice(0, inFlight.length, ...inFlight.filter(({ dueMs }) => dueMs > nowMs));
        if (nowMs % 250 === 0) {
          lease.recordSent(nowMs, at(nowMs));
          const sentAtMs = nowMs;
          for (const from of names) {
            const heard = new Set(
              names.filter((vm) => vm !== from && reportOn(from, vm, nowMs) !== 'silent'),
            );
            const isConfirmed = from !== 'a' && reportOn(from, 'a', nowMs) === 'heard';
            const confirmedOwnerHeartbeat = isConfirmed ? (ownerHeartbeatByVm.get(from) ?? -1) : -1;
            for (const to of names.filter((vm) => vm !== from)) {
              const link = linkKey(to, from);
              if (nextRandom() < 0.02) isCut.set(link, !isCut.get(link));
              if (!isCut.get(link)) {
                inFlight.push({
                  dueMs: nowMs + nextRandom() * 600,
                  run: () => {
                    // A stream delivers in order: drop heartbeats older than the last one.
                    if ((heardAtMsByLink.get(link) ?? -1) >= sentAtMs) return;
                    heardAtMsByLink.set(link, sentAtMs);
                    if (from === 'a') ownerHeartbeatByVm.set(to, sentAtMs);
                    reportsByLink.set(link, { hears: heard, isSettled: sentAtMs > 2_000 });
                    if (to === 'a') lease.recordConfirmation(from, confirmedOwnerHeartbeat);
                  },
                });
              }
            }
          }
        }
        const viewFrom = (self: string): VmView[] =>
          names.map((vm) => ({
            vm,
            dataCentre: '',
            isVoter: true,
            incarnation: '',
            hasRecentHeartbeat: vm === self || hears(self, vm, nowMs),
            isSettled:
              vm === self
                ? nowMs > 2_000
                : (reportsByLink.get(linkKey(self, vm))?.isSettled ?? false),
            isLeaving: false,
            isStrained: false,
            isInEvacuatedDataCentre: false,
            isStoreReachable: true,
            hears:
              vm === self
                ? new Set(names.filter((other) => reportOn(self, other, nowMs) !== 'silent'))
                : (reportsByLink.get(linkKey(self, vm))?.hears ?? new Set(['a'])),
          }));
        const others = names.filter((vm) => vm !== 'a');
        const isLeaseHeld = isHeld(lease, others, at(nowMs));
        const owner = { vm: 'a', incarnation: '', isSettled: true };
        if (isLeaseHeld && others.some((vm) => hasLostOwner(owner, viewFrom(vm)))) overlaps += 1;
      }
      return overlaps;
    };

    const seeds = Array.from({ length: 40 }, (_, index) => index + 1);

    it('is never valid while a majority reports the owner silent', () => {
      seeds.forEach((seed) =>
        expect(
          countLeaseOverlaps(seed, HEARD_WITHIN_MS, CONFIRMATION_DELAY_MS),
          `seed ${seed}`,
        ).to.equal(0),
      );
    });

    it('overlaps if a VM that was reported silent is confirmed again at once', () => {
      const overlaps = seeds.map((seed) => countLeaseOverlaps(seed, HEARD_WITHIN_MS, 0));
      expect(Math.max(...overlaps)).to.be.above(0);
    });
  });
});
