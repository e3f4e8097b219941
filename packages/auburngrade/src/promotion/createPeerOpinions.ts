import type { PrimaryView } from '@auburngrade/coordination';
import type Membership from '../membership/membership';
import type PeerRegistry from '../routing/peerRegistry';
import suspicionReplySchema from './suspicionReplySchema';

const ASK_TIMEOUT_MS = 250;
const SUSPICION_KIND = 'suspicion';

/** Asks the other holders of a group's connections how they see its primary. */
const createPeerOpinions = (vm: string, membership: Membership, peers: PeerRegistry) => {
  const ask = async (other: string, group: string, term: number): Promise<PrimaryView> => {
    try {
      const bodyJson = JSON.stringify({ group, term });
      const message = { fromVm: vm, incarnation: 0, kind: SUSPICION_KIND, bodyJson };
      const reply = await peers.get(other).exchange(message, ASK_TIMEOUT_MS);
      return suspicionReplySchema.parse(JSON.parse(reply.bodyJson)).view;
    } catch {
      return 'unknown';
    }
  };

  return {
    collect: (group: string, term: number): Promise<PrimaryView[]> => {
      const others = membership.holders(group).filter(({ id }) => id !== vm);
      return Promise.all(others.map(({ id }) => ask(id, group, term)));
    },
  };
};

export default createPeerOpinions;
