/** `silent` counts for replacing a VM, `heard` confirms its heartbeats, `unsure` does neither. */
type Statement = 'silent' | 'unsure' | 'heard';

/**
 * What a VM says of the others. One that it called silent is not confirmed for a while even when it is
 * heard again, since others may still count what was said before.
 */
const createHearing = (holdMs: number) => {
  const silentAtMs = new Map<string, number>();

  return {
    /** What to say of a VM; `mayTell` once this process can tell a silent VM. */
    state: (vm: string, isHeard: boolean, mayTell: boolean, nowMs: number): Statement => {
      if (!isHeard) {
        if (mayTell) silentAtMs.set(vm, nowMs);
        return 'silent';
      }
      const silentMs = nowMs - (silentAtMs.get(vm) ?? Number.NEGATIVE_INFINITY);
      return silentMs > holdMs ? 'heard' : 'unsure';
    },
  };
};

export default createHearing;
