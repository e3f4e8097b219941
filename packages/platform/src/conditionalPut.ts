/** One conditional write, applied only if the key has `expectedRevision` (0: the key is absent). */
interface ConditionalPut {
  key: string;
  /** Undefined deletes the key. */
  valueJson: string | undefined;
  expectedRevision: number;
}

export default ConditionalPut;
