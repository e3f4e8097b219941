/** The member that a read goes to, and the conditions that its answer must meet. */
interface ReadPlan {
  member: string;
  role: 'primary' | 'replica';
  /** The term in which the member was chosen; sent with the statement. */
  term: number;
  /** Monotonic time by which the answer must arrive to be fresh; undefined without a bound. */
  freshUntilMs: number | undefined;
  /** Whether a majority must confirm after the read that the primary had not been replaced. */
  isConfirmationRequired: boolean;
}

export default ReadPlan;
