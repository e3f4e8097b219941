import { createPositionHistory } from '@auburngrade/coordination';
import type MemberReply from '../seams/memberReply';
import createEndpointPhases from './createEndpointPhases';
import createGroupEndpoints from './createGroupEndpoints';
import createPrimaryManager from './createPrimaryManager';
import createRequiredPosition from './createRequiredPosition';
import type GroupServerOptions from './groupServerOptions';
import type OpenTransactions from './openTransactions';

interface GroupMembersOptions extends GroupServerOptions {
  /** Called when a queued statement may be started now, or refused. */
  onChange(): void;
}

/** Connects the endpoints of a group with what is known of its primary and of their evacuation. */
const createGroupMembers = (options: GroupMembersOptions, transactions: OpenTransactions) => {
  const positionHistory = createPositionHistory();
  /** Assigned below, after the primary manager, which needs the endpoints' pools. */
  const primaryHooks: {
    noteReply(endpointId: string, reply: MemberReply, sentAtMs: number): void;
    isPrimary(endpointId: string): boolean;
  } = { noteReply: () => undefined, isPrimary: () => false };
  const isPrimary = (endpointId: string): boolean => primaryHooks.isPrimary(endpointId);
  const endpoints = createGroupEndpoints({
    ...options,
    isPrimary,
    onReply: (...parameters) => primaryHooks.noteReply(...parameters),
  });
  const { pools } = endpoints;
  const phases = createEndpointPhases({ ...options, pools, transactions, isPrimary });
  const primaryManager = createPrimaryManager({
    ...options,
    pools,
    departedEndpoints: endpoints.listDeparted,
    countOpenWork: (endpointId) =>
      transactions.countAt(endpointId) +
      (pools.get(endpointId)?.getLoad('', true).activeStatements ?? 0),
    onPrimaryFound: (_id, position, sentAtMs) => {
      positionHistory.clear();
      positionHistory.record(sentAtMs, position);
    },
  });
  primaryHooks.isPrimary = (id) => id === primaryManager.getKnownPrimary();
  primaryHooks.noteReply = (id, { position }, sentAtMs) => {
    if (id !== primaryManager.getKnownPrimary() || !position) return;
    primaryManager.notePrimaryPosition(position, sentAtMs);
    positionHistory.record(sentAtMs, position);
  };
  const requiredPosition = createRequiredPosition({
    ...options,
    pools,
    positionHistory,
    primaryManager,
  });

  return { pools, endpoints, phases, primaryManager, requiredPosition };
};

export default createGroupMembers;
