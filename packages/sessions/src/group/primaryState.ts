/** What the owner of a group knows of the group's primary. */
interface PrimaryState {
  /** Undefined while it is not known. */
  id: string | undefined;
  /** In which tenure the primary was found; in a later one it may have been replaced by another VM. */
  tenure: string | undefined;
  /** The term that the primary was found to lead. */
  term: number;
  /** The highest term that an accepted primary led. */
  highestSeenTerm: number;
  /** Whether new statements wait for the next primary. */
  isReplacing: boolean;
  /** Whether the last attempt to replace an evacuated primary failed or waits for a replica. */
  isReplacementBlocked: boolean;
  /** Since when nothing may be sent to the primary. */
  evacuatedSinceMs: number | undefined;
  isClosed: boolean;
}

export default PrimaryState;
