import type QuotaState from './quotaState';

/** Assigns fields of a quota's state in place. */
const updateQuotaState = (state: QuotaState, changes: Partial<QuotaState>): void => {
  Object.assign(state, changes);
};

export default updateQuotaState;
