import type StepHandler from './stepHandler';

/** Subset of a gRPC server stream; each `data` event carries a step. */
interface ServerStepStream<Reply> {
  on(event: string, listener: (...received: never[]) => void): unknown;
  pause(): unknown;
  resume(): unknown;
  write(reply: Reply): unknown;
  end(): unknown;
}

/** Runs the steps of one stream sequentially; aborts the transaction when the stream ends or fails. */
const serveSteps = <Step, Reply>(
  stream: ServerStepStream<Reply>,
  handler: StepHandler<Step, Reply>,
): void => {
  let lastStepDone = Promise.resolve();
  const abort = (): void => handler.abort();
  stream.on('data', (step: Step) => {
    // Back-pressure: pauses the sender while a step runs, so that steps don't queue up here.
    stream.pause();
    lastStepDone = lastStepDone
      .then(async () => {
        stream.write(await handler.step(step));
      })
      .catch(abort)
      .finally(() => stream.resume());
  });
  stream.on('end', () => {
    lastStepDone.finally(() => {
      abort();
      stream.end();
    });
  });
  stream.on('cancelled', abort);
  stream.on('error', abort);
};

export default serveSteps;
