/** Keeps the names of VMs or members that failed within the last `rememberMs`. */
const createRecentFailures = (rememberMs: number, nowMs: () => number) => {
  const expiresAtMs = new Map<string, number>();
  return {
    add: (name: string): void => {
      expiresAtMs.set(name, nowMs() + rememberMs);
    },
    clear: (name: string): void => {
      expiresAtMs.delete(name);
    },
    names: (): Set<string> => {
      const currentMs = nowMs();
      expiresAtMs.forEach((expiryMs, name) => {
        if (expiryMs <= currentMs) expiresAtMs.delete(name);
      });
      return new Set(expiresAtMs.keys());
    },
  };
};

export default createRecentFailures;
