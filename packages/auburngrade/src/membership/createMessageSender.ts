import type PeerRegistry from '../routing/peerRegistry';
import createMessenger from './createMessenger';
import type SendMessage from './sendMessage';

/** Creates the function that sends a message to another VM and returns the body of its reply. */
const createMessageSender = (vm: string, incarnation: number, peers: PeerRegistry): SendMessage => {
  const send = createMessenger(vm, incarnation, peers);
  return async (target, kind, body, timeoutMs) => (await send(target, kind, body, timeoutMs)).body;
};

export default createMessageSender;
