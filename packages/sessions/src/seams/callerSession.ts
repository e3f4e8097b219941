import type SessionStatement from './sessionStatement';

/** What a caller's connection tells its session. */
interface CallerSession {
  start(database: string, key: string | undefined): void;
  run(requestId: string, statement: SessionStatement): void;
  /** The caller left, or its connection broke. */
  end(): void;
}

export default CallerSession;
