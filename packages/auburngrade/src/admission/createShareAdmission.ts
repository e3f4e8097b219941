import { notRun, type ConfigurationState } from '@auburngrade/coordination';
import type Admission from './admission';
import type createShareService from './createShareService';
import PROFILE_SEPARATOR from './profileSeparator';

/** Admits requests by shares of each client account's rate that move between VMs. */
const createShareAdmission = (
  configuration: ConfigurationState,
  shares: ReturnType<typeof createShareService>,
): Admission => {
  const take = async (name: string, account: string, deadlineAtMs: number): Promise<void> => {
    const shortage = await shares.take(name, deadlineAtMs);
    if (!shortage) return;
    const message =
      shortage.code === 'rateExceeded'
        ? `rate of account ${account} exceeded`
        : `no share of the rate of account ${account} can be had now`;
    throw notRun(shortage.code, message, shortage.retryAfterMs);
  };

  return {
    admit: async (account, profileName, deadlineAtMs): Promise<void> => {
      if (account === undefined) return;
      if (!configuration.get('account', account)) {
        throw notRun('unauthenticated', `no client account ${account}`);
      }
      await take(account, account, deadlineAtMs);
      if (!configuration.get('profile', profileName)?.limit) return;
      try {
        await take(`${account}${PROFILE_SEPARATOR}${profileName}`, account, deadlineAtMs);
      } catch (error) {
        shares.putBack(account);
        throw error;
      }
    },
  };
};

export default createShareAdmission;
