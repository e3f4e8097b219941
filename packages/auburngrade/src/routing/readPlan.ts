/** The member that a read goes to, and what has to hold once its answer is there. */
interface ReadPlan {
  member: string;
  role: 'primary' | 'replica';
  /** The term that the choice was made for; the statement carries it. */
  term: number;
  /** The answer must be there by then to be young enough; undefined without a bound. */
  freshUntilMs: number | undefined;
  /** A majority must confirm after the read that the primary had not been replaced. */
  isConfirmed: boolean;
}

export default ReadPlan;
