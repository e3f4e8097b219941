import type { Heartbeat } from '../generated/auburngrade/session/v1/session';

const describePosition = ({ version, era, revision }: Heartbeat['documents'][number]): string =>
  `${version}/${era}/${revision}`;

/**
 * Omits what is unchanged since the previous heartbeat on the stream: most of a heartbeat stays the same for
 * minutes, and every VM sends one to every other. Safe, since a stream is ordered and lossless until it ends.
 */
const createHeartbeatEncoder = () => {
  const positions = new Map<string, string>();
  let previousHeard: string | undefined;

  return (heartbeat: Heartbeat): Heartbeat => {
    const isFirst = previousHeard === undefined;
    const heardNow = heartbeat.heard?.vms.join() ?? '';
    const isHeardUnchanged = previousHeard === heardNow;
    previousHeard = heardNow;
    const documents = heartbeat.documents.filter(
      (document) => positions.get(document.key) !== describePosition(document),
    );
    documents.forEach((document) => positions.set(document.key, describePosition(document)));
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
