import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';

/** Consecutive failed probes or connection attempts after which an endpoint counts as down. */
const MAX_FAILED_PROBES = 2;

interface EndpointHealthOptions {
  log: EventLog;
  endpoint(): Pick<GroupEndpoint, 'id' | 'group'>;
  /** Called when the endpoint goes down, comes up, or has answered after an evacuation. */
  onChange(isDown: boolean): void;
}

/** Tracks whether an endpoint is up, by its answers and by attempts that failed. */
const createEndpointHealth = ({ log, endpoint, onChange }: EndpointHealthOptions) => {
  let failedProbes = 0;
  let isDown = false;
  /** Whether it is back from an evacuation and has not answered since. */
  let isUnproven = false;

  const setDown = (next: boolean, reason: string): void => {
    if (isDown === next) return;
    isDown = next;
    const { group, id } = endpoint();
    log.warn(next ? 'endpoint.down' : 'endpoint.up', {
      group,
      endpoint: id,
      reason,
      failedProbes,
    });
    onChange(next);
  };
  const noteProven = (): void => {
    if (!isUnproven) return;
    isUnproven = false;
    onChange(isDown);
  };
  const noteRestart = (reason: string): void => {
    failedProbes = 0;
    setDown(false, reason);
  };

  return {
    isDown: (): boolean => isDown,
    /** Whether statements may be sent to it. */
    isUsable: (): boolean => !isDown && !isUnproven,
    /** Whether it is to be probed, whatever else is sent to it. */
    isSuspect: (): boolean => isDown || isUnproven || failedProbes > 0,
    noteAnswer: (reason: string): void => {
      noteRestart(reason);
      noteProven();
    },
    /** Call when it has refused a connection, which says that it is there. */
    noteProven,
    /** Call when it has started anew, so that earlier failures say nothing. */
    noteRestart,
    /** Call with a failed probe or connection; one that says for certain that it is down is confirmed. */
    noteFailure: (reason: string, isConfirmed: boolean): void => {
      failedProbes += 1;
      if (isConfirmed || failedProbes >= MAX_FAILED_PROBES) setDown(true, reason);
    },
    /** Call when its evacuation has ended: it is used once it has answered. */
    noteReturned: (): void => {
      isUnproven = true;
    },
  };
};

export default createEndpointHealth;
