import { notRun, type TransactionRequest } from '@auburngrade/coordination';
import type createReadExecutor from '../execution/createReadExecutor';
import type GroupHolder from '../groups/groupHolder';
import createOutcomeLookup from '../outcome/createOutcomeLookup';
import type ReadPlan from '../routing/readPlan';
import createLocalTransaction from './createLocalTransaction';
import type Transaction from './transaction';

interface LocalTransactionsOptions {
  vm: string;
  /** The group's holder, ready to take statements. */
  holderOf(request: TransactionRequest): Promise<GroupHolder>;
  reads: Pick<ReturnType<typeof createReadExecutor>, 'plan' | 'confirm'>;
  nowMs(): number;
}

const primaryPlan = (holder: GroupHolder): ReadPlan => {
  const record = holder.record();
  if (!record?.primary || record.state !== 'active') {
    throw notRun('noPrimary', `group ${holder.name} has no primary`);
  }
  return {
    member: record.primary,
    role: 'primary',
    term: record.term,
    freshUntilMs: undefined,
    isConfirmed: false,
  };
};

/** The interactive transactions that run on this VM's own connections. */
const createLocalTransactions = ({ vm, holderOf, reads, nowMs }: LocalTransactionsOptions) => {
  const open = new Set<Transaction>();
  const lookup = createOutcomeLookup(vm, nowMs);

  return {
    /** @throws RefusalError */
    begin: async (request: TransactionRequest): Promise<Transaction> => {
      const holder = await holderOf(request);
      const plan = request.write ? primaryPlan(holder) : await reads.plan(holder, request);
      const { account, deadlineAtMs, profile } = request;
      const pooled = await holder.acquire(plan.member, account, deadlineAtMs, profile);
      let forget = (): void => {};
      const transaction = await createLocalTransaction({
        vm,
        holder,
        request,
        plan,
        pooled,
        lookup,
        confirm: (sentAtMs) => reads.confirm(holder, request, plan, sentAtMs),
        onEnd: () => forget(),
        nowMs,
      });
      const timer = setTimeout(() => transaction.abort(), request.deadlineAtMs - nowMs());
      timer.unref();
      open.add(transaction);
      forget = () => {
        clearTimeout(timer);
        open.delete(transaction);
      };
      return transaction;
    },
    openCount: () => open.size,
    /** Rolls back all that are open. */
    abortAll: (): void => open.forEach((transaction) => transaction.abort()),
  };
};

export default createLocalTransactions;
