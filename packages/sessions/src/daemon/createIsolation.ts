import { createIsolationGauge } from '@auburngrade/coordination';
import type createSession from '../front/createSession';
import type EventLog from '../seams/eventLog';

interface IsolationOptions {
  sessions: ReadonlySet<ReturnType<typeof createSession>>;
  log: EventLog;
  nowMs(): number;
  /** Groups of the configuration, and those that this VM or one that it hears serves now. */
  groups(): ReadonlySet<string>;
  servedGroups(): ReadonlySet<string>;
  isStoreReached(): boolean;
}

/** Sends callers to other VMs while this one can serve no group, by itself or through another VM. */
const createIsolation = (options: IsolationOptions) => {
  const { sessions, log, nowMs } = options;
  const gauge = createIsolationGauge(nowMs());
  let state: ReturnType<typeof gauge.observe> = 'connected';
  /** Sessions from before the balancer knew; callers that came later found no better VM. */
  let leaving: ReturnType<typeof createSession>[] = [];

  const observe = (): void => {
    const groups = options.groups();
    const served = options.servedGroups();
    const isServable = groups.size === 0 || [...groups].some((group) => served.has(group));
    const next = gauge.observe(isServable, options.isStoreReached(), nowMs());
    if (next !== state) {
      log.warn('vm.isolation', { state: next, before: state, groups: groups.size });
      leaving = next === 'left' ? [...sessions] : [];
      state = next;
    }
    leaving.filter((session) => sessions.has(session)).forEach((session) => session.closeIfIdle());
  };

  return {
    observe,
    isIsolated: (): boolean => state !== 'connected',
    isLeft: (): boolean => state === 'left',
  };
};

export default createIsolation;
