import { createNotRunError, type TransactionRequest } from '@auburngrade/coordination';
import type createReadExecutor from '../execution/createReadExecutor';
import type GroupClient from '../groups/groupClient';
import createOutcomeLookup from '../outcome/createOutcomeLookup';
import type ReadPlan from '../routing/readPlan';
import createLocalTransaction from './createLocalTransaction';
import type Transaction from './transaction';

interface LocalTransactionsOptions {
  vm: string;
  /** Returns the client of the request's group once it can run statements. @throws RefusalError */
  getGroupClient(request: TransactionRequest): Promise<GroupClient>;
  reads: Pick<ReturnType<typeof createReadExecutor>, 'plan' | 'confirm'>;
  nowMs(): number;
}

const createPrimaryPlan = (groupClient: GroupClient): ReadPlan => {
  const record = groupClient.record();
  if (!record?.primary || record.state !== 'active') {
    throw createNotRunError('noPrimary', `group ${groupClient.name} has no primary`);
  }
  return {
    member: record.primary,
    role: 'primary',
    term: record.term,
    freshUntilMs: undefined,
    isConfirmationRequired: false,
  };
};

/** Begins and tracks the interactive transactions that run on this VM's own connections. */
const createLocalTransactions = ({
  vm,
  getGroupClient,
  reads,
  nowMs,
}: LocalTransactionsOptions) => {
  const openTransactions = new Map<Transaction, { dataCentre: string | undefined }>();
  const outcomeLookup = createOutcomeLookup(vm, nowMs);

  return {
    /** @throws RefusalError */
    begin: async (request: TransactionRequest): Promise<Transaction> => {
      const groupClient = await getGroupClient(request);
      const plan = request.write
        ? createPrimaryPlan(groupClient)
        : await reads.plan(groupClient, request);
      const { account, deadlineAtMs, profile } = request;
      const pooledConnection = await groupClient.acquire(
        plan.member,
        account,
        deadlineAtMs,
        profile,
      );
      let removeTransaction = (): void => {};
      const transaction = await createLocalTransaction({
        vm,
        groupClient,
        request,
        plan,
        pooledConnection,
        outcomeLookup,
        confirmResult: (sentAtMs) => reads.confirm(groupClient, request, plan, sentAtMs),
        onEnd: () => removeTransaction(),
        nowMs,
      });
      const timer = setTimeout(() => transaction.abort(), request.deadlineAtMs - nowMs());
      timer.unref();
      const member = groupClient.group.members.find(({ name }) => name === plan.member);
      openTransactions.set(transaction, { dataCentre: member?.dataCentre });
      removeTransaction = () => {
        clearTimeout(timer);
        openTransactions.delete(transaction);
      };
      return transaction;
    },
    openCount: () => openTransactions.size,
    /** Rolls back all open transactions. */
    abortAll: (): void => openTransactions.forEach((_, transaction) => transaction.abort()),
    /** Rolls back the open transactions on endpoints in the data centres that `isEnded` names. */
    abortInDataCentres: (isEnded: (dataCentre: string) => boolean): void =>
      openTransactions.forEach(({ dataCentre }, transaction) => {
        if (dataCentre !== undefined && isEnded(dataCentre)) transaction.abort();
      }),
  };
};

export default createLocalTransactions;
