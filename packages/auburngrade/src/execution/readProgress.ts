/** How far a read has come. */
interface ReadProgress {
  member: string | undefined;
  /** Whether the read has a connection to the member. */
  isSent: boolean;
}

export default ReadProgress;
