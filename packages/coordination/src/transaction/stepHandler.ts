/** One transaction as the server of its stream sees it. */
interface StepHandler<Step, Reply> {
  /** Never rejects: refusals are part of the reply. */
  step(step: Step): Promise<Reply>;
  /** The stream is gone; what is open is rolled back. */
  abort(): void;
}

export default StepHandler;
