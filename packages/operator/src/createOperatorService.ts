import type { UntypedServiceImplementation, sendUnaryData } from '@grpc/grpc-js';
import type { OperatorServer } from './generated/auburngrade/operator/v1/operator';
import type OperatorHandler from './operatorHandler';

const sendReply = <Reply>(reply: Promise<Reply>, callback: sendUnaryData<Reply>): void => {
  reply.then((value) => callback(null, value), callback);
};

/** Adapts an OperatorHandler to the Operator service. */
const createOperatorService = (handler: OperatorHandler): UntypedServiceImplementation => {
  const service: OperatorServer = {
    put: (call, callback) => sendReply(handler.put(call.request), callback),
    delete: (call, callback) => sendReply(handler.delete(call.request), callback),
    list: (call, callback) => sendReply(handler.list(call.request), callback),
    issueKey: (call, callback) => sendReply(handler.issueKey(call.request), callback),
    withdrawKey: (call, callback) => sendReply(handler.withdrawKey(call.request), callback),
    status: (_call, callback) => sendReply(handler.status(), callback),
  };
  return service;
};

export default createOperatorService;
