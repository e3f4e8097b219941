import type { TermRecord } from '@auburngrade/coordination';
import type { Fleet } from '@auburngrade/testkit';

/** A group's newest term record that any running VM knows. */
const readTerm = async (fleet: Fleet, group: string): Promise<TermRecord | undefined> => {
  const answers = await Promise.all(
    [...fleet.vms.keys()].map((vm) => fleet.statusOf(vm).catch(() => ({ terms: {} }))),
  );
  return answers
    .flatMap((status) => (status.terms as Record<string, TermRecord>)[group] ?? [])
    .sort((a, b) => b.term - a.term || (a.state === 'active' ? -1 : 1))[0];
};

export default readTerm;
