/** One conditional write: applied only while the key still has `expectedRevision` (0: absent). */
interface ConditionalPut {
  key: string;
  /** Undefined deletes the key. */
  valueJson: string | undefined;
  expectedRevision: number;
}

export default ConditionalPut;
