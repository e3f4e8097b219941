import type { CallResult, GroupCall } from '../generated/auburngrade/session/v1/session';

/** The stream to another VM, as calls use it. */
interface PeerLink {
  isUp(): boolean;
  /** @throws LinkError */
  call(call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallResult>;
  endTransaction(transaction: number): void;
  endSession(session: number): void;
  sendDocument(document: { key: string; revision: number; value: string }): void;
  close(): void;
}

export default PeerLink;
