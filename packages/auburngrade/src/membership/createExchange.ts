import type PeerRegistry from '../routing/peerRegistry';

/** Creates the function that sends a message of a registered kind to another VM and gives its reply. */
const createExchange =
  (vm: string, incarnation: number, peers: PeerRegistry) =>
  async (target: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown> => {
    const message = { fromVm: vm, incarnation, kind, bodyJson: JSON.stringify(body) };
    const reply = await peers.get(target).exchange(message, timeoutMs);
    return JSON.parse(reply.bodyJson);
  };

export default createExchange;
