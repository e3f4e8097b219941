/** One connection, or one forwarded call, that holds a part of the memory budget. */
interface MemoryHolder {
  account: string;
  heldBytes: number;
  /** Rises with the time at which it began to hold anything. */
  since: number;
}

export default MemoryHolder;
