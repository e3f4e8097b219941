import { serveSteps, type StepHandler } from '@auburngrade/coordination';
import type {
  ServerDuplexStream,
  ServerUnaryCall,
  UntypedServiceImplementation,
  sendUnaryData,
} from '@grpc/grpc-js';
import type CallerHandler from './callerHandler';
import {
  Outcome,
  Verdict,
  type Statement,
  type TransactionReply,
  type TransactionStep,
} from './generated/auburngrade/caller/v1/caller';
import keyOfMetadata from './keyOfMetadata';
import type TransactionHandler from './transactionHandler';
import UnparsableRequest from './unparsableRequest';

type Parsed<Message> = Message | UnparsableRequest;

const refuseUnparsable = ({ message }: UnparsableRequest): Outcome =>
  Outcome.fromPartial({
    verdict: Verdict.NOT_RUN,
    refusal: { code: 'badRequest', message, retryAfterMs: 0 },
  });

const guardSteps = (
  handler: TransactionHandler,
): StepHandler<Parsed<TransactionStep>, TransactionReply> => ({
  step: async (step) =>
    step instanceof UnparsableRequest
      ? { step: 0, outcome: refuseUnparsable(step) }
      : handler.step(step),
  abort: () => handler.abort(),
});

/** Adapts a CallerHandler to `proxyDefinition`; steps of one transaction run in order. */
const createCallerService = (handler: CallerHandler): UntypedServiceImplementation => ({
  execute: (
    { request, metadata }: ServerUnaryCall<Parsed<Statement>, Outcome>,
    callback: sendUnaryData<Outcome>,
  ) => {
    if (request instanceof UnparsableRequest) {
      callback(null, refuseUnparsable(request));
      return;
    }
    handler
      .execute(request, keyOfMetadata(metadata))
      .then((outcome) => callback(null, outcome), callback);
  },
  transact: (stream: ServerDuplexStream<Parsed<TransactionStep>, TransactionReply>) => {
    serveSteps(stream, guardSteps(handler.openTransaction(keyOfMetadata(stream.metadata))));
  },
});

export default createCallerService;
