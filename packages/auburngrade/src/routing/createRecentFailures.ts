/** Remembers for a while which VMs or members failed. */
const createRecentFailures = (rememberMs: number, nowMs: () => number) => {
  const untilMs = new Map<string, number>();
  return {
    add: (name: string): void => {
      untilMs.set(name, nowMs() + rememberMs);
    },
    clear: (name: string): void => {
      untilMs.delete(name);
    },
    names: (): Set<string> => {
      const now = nowMs();
      untilMs.forEach((until, name) => {
        if (until <= now) untilMs.delete(name);
      });
      return new Set(untilMs.keys());
    },
  };
};

export default createRecentFailures;
