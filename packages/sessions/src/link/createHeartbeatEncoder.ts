import type { Heartbeat } from '../generated/auburngrade/session/v1/session';

/**
 * Omits what is unchanged since the previous heartbeat on the stream: most of a heartbeat stays the same for
 * minutes, and every VM sends one to every other. Safe, since a stream is ordered and lossless until it ends.
 */
const createHeartbeatEncoder = () => {
  const revisions = new Map<string, number>();
  let previousHeard: string | undefined;

  return (heartbeat: Heartbeat): Heartbeat => {
    const isFirst = previousHeard === undefined;
    const heardNow = heartbeat.heard?.vms.join() ?? '';
    const isHeardUnchanged = previousHeard === heardNow;
    previousHeard = heardNow;
    const documents = heartbeat.documents.filter(
      ({ key, revision }) => revisions.get(key) !== revision,
    );
    documents.forEach(({ key, revision }) => revisions.set(key, revision));
    return {
      ...heartbeat,
      vm: isFirst ? heartbeat.vm : '',
      incarnation: isFirst ? heartbeat.incarnation : '',
      heard: isHeardUnchanged ? undefined : heartbeat.heard,
      documents,
    };
  };
};

export default createHeartbeatEncoder;
