import { decideQueuedStatement } from '@auburngrade/coordination';
import type createRequiredPosition from './createRequiredPosition';
import isPrimaryOnly from './isPrimaryOnly';
import type MemberPool from './memberPool';
import type PendingStatement from './pendingStatement';
import type PrimaryManager from './primaryManager';

interface UnservableCheckOptions {
  pools: ReadonlyMap<string, MemberPool>;
  primaryManager: PrimaryManager;
  requiredPosition: ReturnType<typeof createRequiredPosition>;
}

/** Returns whether no endpoint can serve a queued statement, since the primary is evacuated for good. */
const createUnservableCheck =
  ({ pools, primaryManager, requiredPosition }: UnservableCheckOptions) =>
  (statement: PendingStatement): boolean => {
    const usable = [...pools.values()].filter((pool) => !pool.isDown());
    const decision = decideQueuedStatement({
      needsPrimary: isPrimaryOnly(statement),
      isPrimaryEvacuated: primaryManager.isPrimaryEvacuated(),
      hasCandidate: usable.some((pool) => pool.use().isCandidate),
      isReplacementBlocked: primaryManager.isReplacementBlocked(),
      canReadAtReplica:
        requiredPosition.find(statement) !== undefined &&
        usable.some((pool) => pool.use().acceptsNewWork),
    });
    return decision === 'refuse';
  };

export default createUnservableCheck;
