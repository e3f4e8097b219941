import { credentials, Metadata, type ChannelCredentials, type ServiceError } from '@grpc/grpc-js';
import {
  OperatorClient,
  type Change,
  type DeleteDocument,
  type DocumentList,
  type IssueKeyReply,
  type IssueKeyRequest,
  type ListDocuments,
  type PutDocument,
  type StatusReply,
  type WithdrawKeyRequest,
} from './generated/auburngrade/operator/v1/operator';

type UnaryCallback<Reply> = (error: ServiceError | null, reply: Reply) => void;

const toPromise = <Reply>(call: (callback: UnaryCallback<Reply>) => void): Promise<Reply> =>
  new Promise((resolve, reject) => {
    call((error, reply) => {
      if (error) reject(error);
      else resolve(reply);
    });
  });

/** Creates a client of a VM's Operator service at `host:port`; `timeoutMs` limits each call. */
const createOperatorClient = (
  address: string,
  timeoutMs: number,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const client = new OperatorClient(address, channelCredentials);
  const createCallOptions = () => ({ deadline: Date.now() + timeoutMs });
  return {
    put: (request: PutDocument): Promise<Change> =>
      toPromise((callback) => client.put(request, new Metadata(), createCallOptions(), callback)),
    delete: (request: DeleteDocument): Promise<Change> =>
      toPromise((callback) =>
        client.delete(request, new Metadata(), createCallOptions(), callback),
      ),
    list: (request: ListDocuments): Promise<DocumentList> =>
      toPromise((callback) => client.list(request, new Metadata(), createCallOptions(), callback)),
    issueKey: (request: IssueKeyRequest): Promise<IssueKeyReply> =>
      toPromise((callback) =>
        client.issueKey(request, new Metadata(), createCallOptions(), callback),
      ),
    withdrawKey: (request: WithdrawKeyRequest): Promise<Change> =>
      toPromise((callback) =>
        client.withdrawKey(request, new Metadata(), createCallOptions(), callback),
      ),
    status: (): Promise<StatusReply> =>
      toPromise((callback) => client.status({}, new Metadata(), createCallOptions(), callback)),
    close: (): void => client.close(),
  };
};

export default createOperatorClient;
