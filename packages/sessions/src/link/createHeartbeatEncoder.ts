import type { Heartbeat } from '../generated/auburngrade/session/v1/session';

/**
 * Leaves out of each heartbeat on a stream what the one before it said: most of a heartbeat is the same
 * for minutes, and all VMs send them to all. A stream keeps order and loses nothing until it ends.
 */
const createHeartbeatEncoder = () => {
  const revisions = new Map<string, number>();
  let heard: string | undefined;

  return (heartbeat: Heartbeat): Heartbeat => {
    const isFirst = heard === undefined;
    const nextHeard = heartbeat.heard?.vms.join() ?? '';
    const isSameHeard = heard === nextHeard;
    heard = nextHeard;
    const documents = heartbeat.documents.filter(
      ({ key, revision }) => revisions.get(key) !== revision,
    );
    documents.forEach(({ key, revision }) => revisions.set(key, revision));
    return {
      ...heartbeat,
      vm: isFirst ? heartbeat.vm : '',
      incarnation: isFirst ? heartbeat.incarnation : '',
      heard: isSameHeard ? undefined : heartbeat.heard,
      documents,
    };
  };
};

export default createHeartbeatEncoder;
