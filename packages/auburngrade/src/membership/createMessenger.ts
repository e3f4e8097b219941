import type PeerRegistry from '../routing/peerRegistry';

interface Reply {
  /** Identifies the other VM's process that answered; increases with each start. */
  incarnation: number;
  body: unknown;
}

/** Creates the function that sends a message to another VM and returns its parsed reply. */
const createMessenger =
  (vm: string, incarnation: number, peers: PeerRegistry) =>
  async (target: string, kind: string, body: unknown, timeoutMs: number): Promise<Reply> => {
    const message = { fromVm: vm, incarnation, kind, bodyJson: JSON.stringify(body) };
    const reply = await peers.get(target).exchange(message, timeoutMs);
    return { incarnation: reply.incarnation, body: JSON.parse(reply.bodyJson) };
  };

export default createMessenger;
