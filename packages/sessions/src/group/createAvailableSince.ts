/** Tracks since when each endpoint has been up, or has been known as the primary. */
const createAvailableSince = (nowMs: () => number) => {
  const sinceMs = new Map<string, number>();
  const downIds = new Set<string>();

  return {
    noteHealth: (endpointId: string, isDown: boolean): void => {
      if (isDown) downIds.add(endpointId);
      else if (downIds.delete(endpointId)) sinceMs.set(endpointId, nowMs());
    },
    noteAvailable: (endpointId: string): void => {
      sinceMs.set(endpointId, nowMs());
    },
    /** 0 when the endpoint has not changed since it was found. */
    sinceMs: (endpointId: string): number => sinceMs.get(endpointId) ?? 0,
  };
};

export default createAvailableSince;
