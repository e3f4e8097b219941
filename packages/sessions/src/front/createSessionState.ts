import countEntryBytes from '../limits/countEntryBytes';

interface PreparedShape {
  isWrite: boolean;
  shape: string;
}

/** Keeps a session's values and prepared statements, and reports their size whenever it may have changed. */
const createSessionState = (holdBytes: (byteCount: number) => void) => {
  const values = new Map<string, string>();
  const preparedStatements = new Map<string, PreparedShape>();
  let valuesVersion = 0;
  let snapshot: ReadonlyMap<string, string> | undefined;
  let stateBytes = 0;

  const noteChange = (
    name: string,
    text: string | undefined,
    replaced: string | undefined,
  ): void => {
    const sizeOf = (kept: string | undefined): number =>
      kept === undefined ? 0 : countEntryBytes(name, kept);
    stateBytes += sizeOf(text) - sizeOf(replaced);
    holdBytes(stateBytes);
  };

  return {
    /** The values as they are now; the returned map does not change any more. */
    values: (): ReadonlyMap<string, string> => {
      snapshot ??= new Map(values);
      return snapshot;
    },
    /** Increases with each value that is set; 0 while there is none. */
    valuesVersion: (): number => valuesVersion,
    findPrepared: (name: string): PreparedShape | undefined => preparedStatements.get(name),
    setValue: (name: string, value: string): void => {
      noteChange(name, value, values.get(name));
      values.set(name, value);
      snapshot = undefined;
      valuesVersion += 1;
    },
    prepare: (name: string, statement: PreparedShape): void => {
      noteChange(name, statement.shape, preparedStatements.get(name)?.shape);
      preparedStatements.set(name, statement);
    },
    deallocate: (name: string): void => {
      noteChange(name, undefined, preparedStatements.get(name)?.shape);
      preparedStatements.delete(name);
    },
  };
};

export default createSessionState;
