/** One conditional write, applied only if the key has `expectedRevision` (0: the key is absent). */
interface ConditionalWrite {
  key: string;
  /** Undefined deletes the key. */
  valueJson: string | undefined;
  expectedRevision: number;
}

export default ConditionalWrite;
