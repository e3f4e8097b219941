import { createIsolationDetector } from '@auburngrade/coordination';
import type createSession from '../front/createSession';
import type EventLog from '../seams/eventLog';

interface IsolationMonitorOptions {
  sessions: ReadonlySet<ReturnType<typeof createSession>>;
  log: EventLog;
  nowMs(): number;
  /** Groups of the configuration. */
  groups(): ReadonlySet<string>;
  /** Groups that this VM or a reachable peer serves now. */
  servedGroups(): ReadonlySet<string>;
  isStoreWatched(): boolean;
}

/** Detects that this VM can serve no group, itself or through a peer; then moves callers to other VMs. */
const createIsolationMonitor = (options: IsolationMonitorOptions) => {
  const { sessions, log, nowMs } = options;
  const gauge = createIsolationDetector(nowMs());
  let state: ReturnType<typeof gauge.observe> = 'connected';
  /** Sessions opened before the load balancer removed this VM; later callers found no better VM. */
  let sessionsToClose: ReturnType<typeof createSession>[] = [];

  const observe = (): void => {
    const groups = options.groups();
    const served = options.servedGroups();
    const canServeAnyGroup = groups.size === 0 || [...groups].some((group) => served.has(group));
    const next = gauge.observe(canServeAnyGroup, options.isStoreWatched(), nowMs());
    if (next !== state) {
      log.warn('vm.isolation', { state: next, before: state, groups: groups.size });
      sessionsToClose = next === 'left' ? [...sessions] : [];
      state = next;
    }
    sessionsToClose
      .filter((session) => sessions.has(session))
      .forEach((session) => session.closeIfIdle('this VM can reach no group'));
  };

  return {
    observe,
    isIsolated: (): boolean => state !== 'connected',
    isRemovedFromBalancer: (): boolean => state === 'left',
  };
};

export default createIsolationMonitor;
