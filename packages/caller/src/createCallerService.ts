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
      const transaction = handler.openTransaction(keyOfMetadata(stream.metadata));
      let previous = Promise.resolve();
      const abort = (): void => transaction.abort();
      stream.on('data', (step) => {
        previous = previous
          .then(async () => {
            stream.write(await transaction.step(step));
          })
          .catch(abort);
      });
      stream.on('end', () => {
        previous.finally(() => {
          abort();
          stream.end();
        });
      });
      stream.on('cancelled', abort);
      stream.on('error', abort);
    },
  };
  return service;
};

export default createCallerService;
