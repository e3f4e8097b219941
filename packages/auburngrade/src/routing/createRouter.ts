import {
  RefusalError,
  encodeSessionToken,
  mayHaveRun,
  notRun,
  refusalSchema,
  statementOutcomeSchema,
  type StatementOutcome,
  type StatementRequest,
} from '@auburngrade/coordination';
import type { ForwardedOutcome, ForwardedStatement } from '@auburngrade/vm';
import type Membership from '../membership/membership';
import type PeerRegistry from './peerRegistry';

interface RouterOptions {
  vm: string;
  membership: Membership;
  peers: PeerRegistry;
  executeLocally(request: StatementRequest): Promise<StatementOutcome>;
  nowMs(): number;
}

const toForwarded = (request: StatementRequest, nowMs: number): ForwardedStatement => ({
  account: request.account ?? '',
  profile: request.profile,
  group: request.group,
  write: request.write,
  sql: request.sql,
  parameters: request.parameters.map((text) => ({ text: text ?? undefined })),
  sessionToken: encodeSessionToken(request.sessionToken),
  requestId: request.requestId,
  timeoutMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
});

const fromForwarded = (outcome: ForwardedOutcome): StatementOutcome => {
  const body: unknown = JSON.parse(outcome.bodyJson);
  if (outcome.verdict === 'ran') return statementOutcomeSchema.parse(body);
  throw new RefusalError(refusalSchema.parse(body));
};

/** Sends a statement to a VM that holds connections to its group: this one if it can. */
const createRouter = ({ vm, membership, peers, executeLocally, nowMs }: RouterOptions) => {
  const forward = async (request: StatementRequest, target: string): Promise<StatementOutcome> => {
    const outcome = await peers
      .get(target)
      .execute(toForwarded(request, nowMs()))
      .catch((error: Error) => {
        throw mayHaveRun('peerUnreachable', error.message);
      });
    return fromForwarded(outcome);
  };

  return {
    /** @throws RefusalError */
    execute: async (request: StatementRequest): Promise<StatementOutcome> => {
      const holders = membership.holders(request.group);
      if (holders.some(({ id }) => id === vm)) return executeLocally(request);
      const [target] = holders;
      if (!target) throw notRun('noConnection', `no VM holds connections to ${request.group}`);
      return forward(request, target.id);
    },
  };
};

export default createRouter;
