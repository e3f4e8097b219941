import type {
  CallResult,
  FleetDocument,
  GroupCall,
} from '../generated/auburngrade/session/v1/session';

/** A stream to another VM that carries group calls and documents, and reopens itself when it breaks. */
interface PeerLink {
  isUp(): boolean;
  /** Opens the stream again if it was closed while idle. */
  open(): void;
  /** Sends `values` only if their version changed on this stream, or the other VM asks. @throws LinkError without an answer */
  call(call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallResult>;
  endTransaction(transaction: number): void;
  endSession(session: number): void;
  sendDocument(document: FleetDocument): void;
  close(): void;
}

export default PeerLink;
