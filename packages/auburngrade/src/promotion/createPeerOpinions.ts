import type { PrimaryView } from '@auburngrade/coordination';
import type Membership from '../membership/membership';
import type SendMessage from '../membership/sendMessage';
import suspicionReplySchema from './suspicionReplySchema';

const ASK_TIMEOUT_MS = 250;
const SUSPICION_KIND = 'suspicion';

/** Asks the other holders of a group's connections how they see its primary. */
const createPeerOpinions = (vm: string, membership: Membership, send: SendMessage) => {
  const ask = async (other: string, group: string, term: number): Promise<PrimaryView> => {
    try {
      const reply = await send(other, SUSPICION_KIND, { group, term }, ASK_TIMEOUT_MS);
      return suspicionReplySchema.parse(reply).view;
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
