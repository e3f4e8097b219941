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
import readBearerKey from './readBearerKey';
import type TransactionHandler from './transactionHandler';
import MalformedRequest from './malformedRequest';

type OrMalformed<Message> = Message | MalformedRequest;

const toBadRequestOutcome = ({ message }: MalformedRequest): Outcome =>
  Outcome.fromPartial({
    verdict: Verdict.NOT_RUN,
    refusal: { code: 'badRequest', message, retryAfterMs: 0 },
  });

const refuseMalformedSteps = (
  handler: TransactionHandler,
): StepHandler<OrMalformed<TransactionStep>, TransactionReply> => ({
  step: async (step) =>
    step instanceof MalformedRequest
      ? { step: 0, outcome: toBadRequestOutcome(step) }
      : handler.step(step),
  abort: () => handler.abort(),
});

/** Adapts a CallerHandler to `proxyDefinition`; the steps of a transaction run in order. */
const createCallerService = (handler: CallerHandler): UntypedServiceImplementation => ({
  execute: (
    { request, metadata }: ServerUnaryCall<OrMalformed<Statement>, Outcome>,
    callback: sendUnaryData<Outcome>,
  ) => {
    if (request instanceof MalformedRequest) {
      callback(null, toBadRequestOutcome(request));
      return;
    }
    handler
      .execute(request, readBearerKey(metadata))
      .then((outcome) => callback(null, outcome), callback);
  },
  transact: (stream: ServerDuplexStream<OrMalformed<TransactionStep>, TransactionReply>) => {
    serveSteps(
      stream,
      refuseMalformedSteps(handler.openTransaction(readBearerKey(stream.metadata))),
    );
  },
});

export default createCallerService;
