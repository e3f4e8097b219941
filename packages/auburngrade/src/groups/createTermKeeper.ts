import { documentKinds, type ConfigurationState, type TermRecord } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type GroupHolder from './groupHolder';

/** Writes the first term record of a group whose members already have a primary. */
const createTermKeeper = (
  platform: Platform,
  configuration: ConfigurationState,
  timeoutMs: number,
  logger: Logger,
) => ({
  ensureRecord: async (holder: GroupHolder): Promise<void> => {
    if (configuration.get('term', holder.name)) return;
    await holder.poll();
    const primaries = holder.statuses().filter(({ role }) => role === 'primary');
    const [primary] = primaries;
    if (!primary || primaries.length > 1) return;
    if (configuration.get('term', holder.name)) return;
    const record: TermRecord = {
      term: primary.fencedTerm,
      state: 'active',
      primary: primary.member,
      voters: holder.group.members.map(({ name }) => name),
      history: [{ term: primary.fencedTerm, startPosition: 0 }],
    };
    const key = documentKinds.term.prefix + holder.name;
    const put = { key, valueJson: JSON.stringify(record), expectedRevision: 0 };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      const modRevision = outcome.revision;
      configuration.applyChanges(0, [{ key, valueJson: put.valueJson, modRevision }]);
    }
    logger.info('term.recorded', { group: holder.name, outcome: outcome.kind });
  },
});

export default createTermKeeper;
