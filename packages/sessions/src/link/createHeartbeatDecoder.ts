import type { Heartbeat } from '../generated/auburngrade/session/v1/session';

/** Restores the fields that `createHeartbeatEncoder` left out. Each stream needs its own decoder. */
const createHeartbeatDecoder = () => {
  const revisions = new Map<string, number>();
  let vm = '';
  let incarnation = '';
  let heard: Heartbeat['heard'];

  return (heartbeat: Heartbeat): Heartbeat => {
    vm = heartbeat.vm || vm;
    incarnation = heartbeat.incarnation || incarnation;
    heard = heartbeat.heard ?? heard;
    heartbeat.documents.forEach(({ key, revision }) => revisions.set(key, revision));
    const documents = [...revisions].map(([key, revision]) => ({ key, revision }));
    return { ...heartbeat, vm, incarnation, heard, documents };
  };
};

export default createHeartbeatDecoder;
