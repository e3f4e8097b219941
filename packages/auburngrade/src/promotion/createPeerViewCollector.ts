import type { PrimaryHealth } from '@auburngrade/coordination';
import type Membership from '../membership/membership';
import type SendMessage from '../membership/sendMessage';
import suspicionReplySchema from './suspicionReplySchema';

const ASK_TIMEOUT_MS = 250;
const SUSPICION_KIND = 'suspicion';

/** Asks the other VMs with slots of a group how they see its primary; `unknown` on failure. */
const createPeerViewCollector = (vm: string, membership: Membership, sendMessage: SendMessage) => {
  const askPeer = async (peer: string, group: string, term: number): Promise<PrimaryHealth> => {
    try {
      const reply = await sendMessage(peer, SUSPICION_KIND, { group, term }, ASK_TIMEOUT_MS);
      return suspicionReplySchema.parse(reply).view;
    } catch {
      return 'unknown';
    }
  };

  return {
    collect: (group: string, term: number): Promise<PrimaryHealth[]> => {
      const peers = membership.holders(group).filter(({ id }) => id !== vm);
      return Promise.all(peers.map(({ id }) => askPeer(id, group, term)));
    },
  };
};

export default createPeerViewCollector;
