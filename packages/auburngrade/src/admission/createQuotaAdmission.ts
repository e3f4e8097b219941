import { createNotRunError, type ConfigurationState } from '@auburngrade/coordination';
import type Admission from './admission';
import type createQuotaService from './createQuotaService';
import PROFILE_SEPARATOR from './profileSeparator';

/** Creates the rate limiter that uses this VM's quota units of each account; units follow demand. */
const createQuotaAdmission = (
  configuration: ConfigurationState,
  quotas: ReturnType<typeof createQuotaService>,
): Admission => {
  const take = async (name: string, account: string, deadlineAtMs: number): Promise<void> => {
    const shortage = await quotas.take(name, deadlineAtMs);
    if (!shortage) return;
    const message =
      shortage.code === 'rateExceeded'
        ? `account ${account} is over its rate`
        : `the rate of account ${account} is temporarily unavailable on this VM`;
    throw createNotRunError(shortage.code, message, shortage.retryAfterMs);
  };

  return {
    admit: async (account, profileName, deadlineAtMs): Promise<void> => {
      if (account === undefined) return;
      if (!configuration.get('account', account)) {
        throw createNotRunError('unauthenticated', `client account ${account} does not exist`);
      }
      await take(account, account, deadlineAtMs);
      if (!configuration.get('profile', profileName)?.limit) return;
      try {
        await take(`${account}${PROFILE_SEPARATOR}${profileName}`, account, deadlineAtMs);
      } catch (error) {
        quotas.refundToken(account);
        throw error;
      }
    },
  };
};

export default createQuotaAdmission;
