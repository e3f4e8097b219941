import { documentKinds, type ConfigurationState, type TermRecord } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type GroupClient from './groupClient';

/** Writes the first term record of a group that has no record but exactly one primary. */
const createTermRecordInitializer = (
  platform: ConfigurationStore,
  configuration: ConfigurationState,
  timeoutMs: number,
  logger: Logger,
) => ({
  ensureTermRecord: async (groupClient: GroupClient): Promise<void> => {
    if (configuration.get('term', groupClient.name)) return;
    await groupClient.poll();
    const primaries = groupClient.statuses().filter(({ role }) => role === 'primary');
    const [primary] = primaries;
    if (!primary || primaries.length > 1) return;
    if (configuration.get('term', groupClient.name)) return;
    const record: TermRecord = {
      term: primary.fencedTerm,
      state: 'active',
      primary: primary.member,
      voters: groupClient.group.members.map(({ name }) => name),
      history: [{ term: primary.fencedTerm, startPosition: 0 }],
    };
    const key = documentKinds.term.prefix + groupClient.name;
    const put = { key, valueJson: JSON.stringify(record), expectedRevision: 0 };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      const modRevision = outcome.revision;
      configuration.applyChanges(0, [{ key, valueJson: put.valueJson, modRevision }]);
    }
    logger.info('term.recorded', { group: groupClient.name, outcome: outcome.kind });
  },
});

export default createTermRecordInitializer;
