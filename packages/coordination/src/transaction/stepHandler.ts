/** Executes the steps of one transaction stream; called by `serveSteps`. */
interface StepHandler<Step, Reply> {
  /** Executes one step. Never rejects: refusals are part of the reply. */
  step(step: Step): Promise<Reply>;
  /** Rolls back an open transaction after the stream has ended or failed. */
  abort(): void;
}

export default StepHandler;
