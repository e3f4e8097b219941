import type { Heartbeat } from '../generated/auburngrade/session/v1/session';

/** Restores the fields that `createHeartbeatEncoder` left out. Each stream needs its own decoder. */
const createHeartbeatDecoder = () => {
  const positions = new Map<string, Heartbeat['documents'][number]>();
  let vm = '';
  let incarnation = '';
  let heard: Heartbeat['heard'];

  return (heartbeat: Heartbeat): Heartbeat => {
    vm = heartbeat.vm || vm;
    incarnation = heartbeat.incarnation || incarnation;
    heard = heartbeat.heard ?? heard;
    heartbeat.documents.forEach((document) => positions.set(document.key, document));
    const documents = [...positions.values()];
    return { ...heartbeat, vm, incarnation, heard, documents };
  };
};

export default createHeartbeatDecoder;
