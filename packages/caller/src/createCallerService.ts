import { serveSteps } from '@auburngrade/coordination';
import type { UntypedServiceImplementation } from '@grpc/grpc-js';
import type CallerHandler from './callerHandler';
import type { ProxyServer } from './generated/auburngrade/caller/v1/caller';
import keyOfMetadata from './keyOfMetadata';

/** Adapts a CallerHandler to the gRPC service; steps of one transaction run in order. */
const createCallerService = (handler: CallerHandler): UntypedServiceImplementation => {
  const service: ProxyServer = {
    execute: (call, callback) => {
      handler
        .execute(call.request, keyOfMetadata(call.metadata))
        .then((outcome) => callback(null, outcome), callback);
    },
    transact: (stream) => {
      serveSteps(stream, handler.openTransaction(keyOfMetadata(stream.metadata)));
    },
  };
  return service;
};

export default createCallerService;
