import type StepHandler from './stepHandler';

/** The part of a server's stream that is used here; `data` gives steps. */
interface StepStream<Reply> {
  on(event: string, listener: (...received: never[]) => void): unknown;
  pause(): unknown;
  resume(): unknown;
  write(reply: Reply): unknown;
  end(): unknown;
}

/** Runs the steps of one stream in order, one at a time; aborts when the stream ends or is lost. */
const serveSteps = <Step, Reply>(
  stream: StepStream<Reply>,
  handler: StepHandler<Step, Reply>,
): void => {
  let previous = Promise.resolve();
  const abort = (): void => handler.abort();
  stream.on('data', (step: Step) => {
    // The sender is held back while a step runs, so that steps don't pile up here.
    stream.pause();
    previous = previous
      .then(async () => {
        stream.write(await handler.step(step));
      })
      .catch(abort)
      .finally(() => stream.resume());
  });
  stream.on('end', () => {
    previous.finally(() => {
      abort();
      stream.end();
    });
  });
  stream.on('cancelled', abort);
  stream.on('error', abort);
};

export default serveSteps;
