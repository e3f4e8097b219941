import type PeerRegistry from '../routing/peerRegistry';

interface Reply {
  /** Names the process of the other VM that answered. */
  incarnation: number;
  body: unknown;
}

/** Creates the function that sends a message of a registered kind to another VM. */
const createMessenger =
  (vm: string, incarnation: number, peers: PeerRegistry) =>
  async (target: string, kind: string, body: unknown, timeoutMs: number): Promise<Reply> => {
    const message = { fromVm: vm, incarnation, kind, bodyJson: JSON.stringify(body) };
    const reply = await peers.get(target).exchange(message, timeoutMs);
    return { incarnation: reply.incarnation, body: JSON.parse(reply.bodyJson) };
  };

export default createMessenger;
