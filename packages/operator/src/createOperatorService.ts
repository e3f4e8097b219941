import type { UntypedServiceImplementation, sendUnaryData } from '@grpc/grpc-js';
import type { OperatorServer } from './generated/auburngrade/operator/v1/operator';
import type OperatorHandler from './operatorHandler';

const reply = <Reply>(answer: Promise<Reply>, callback: sendUnaryData<Reply>): void => {
  answer.then((value) => callback(null, value), callback);
};

/** Adapts an OperatorHandler to the gRPC service. */
const createOperatorService = (handler: OperatorHandler): UntypedServiceImplementation => {
  const service: OperatorServer = {
    put: (call, callback) => reply(handler.put(call.request), callback),
    delete: (call, callback) => reply(handler.delete(call.request), callback),
    list: (call, callback) => reply(handler.list(call.request), callback),
    issueKey: (call, callback) => reply(handler.issueKey(call.request), callback),
    withdrawKey: (call, callback) => reply(handler.withdrawKey(call.request), callback),
    status: (_call, callback) => reply(handler.status(), callback),
  };
  return service;
};

export default createOperatorService;
