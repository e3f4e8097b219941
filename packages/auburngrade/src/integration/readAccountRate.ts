import type { Fleet } from '@auburngrade/testkit';

/** The rate of an account's limit that is in force on a VM, in operations per second; undefined if it has no such account. */
const readAccountRate = async (
  fleet: Fleet,
  vm: string,
  account: string,
): Promise<number | undefined> => {
  const client = fleet.operator(vm);
  try {
    const { documents } = await client.list({ kind: 'account' });
    const found = documents.find(({ name }) => name === account);
    if (!found) return undefined;
    return (JSON.parse(found.bodyJson) as { limit: { ratePerS: number } }).limit.ratePerS;
  } finally {
    client.close();
  }
};

export default readAccountRate;
