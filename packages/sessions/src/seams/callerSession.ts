import type RefusalCode from './refusalCode';
import type SessionStatement from './sessionStatement';

/** A caller's session, as driven by the listener that decodes the caller's connection. */
interface CallerSession {
  start(database: string, key: string | undefined): void;
  run(requestId: string, statement: SessionStatement): void;
  /** Called when the caller breaks the protocol: answers what is outstanding, and closes the connection. */
  fail(code: RefusalCode, message: string): void;
  /** Called when the caller terminates the session or its connection breaks. */
  end(): void;
}

export default CallerSession;
