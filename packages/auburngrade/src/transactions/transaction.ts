import type { StatementOutcome } from '@auburngrade/coordination';

/** An open interactive transaction on an endpoint; each method rejects with a RefusalError. */
abstract class Transaction {
  abstract run(sql: string, parameters: (string | null)[]): Promise<StatementOutcome>;

  abstract commit(): Promise<StatementOutcome>;

  abstract rollback(): Promise<StatementOutcome>;

  /** Rolls back the transaction; does nothing once it has ended. */
  abstract abort(): void;
}

export default Transaction;
