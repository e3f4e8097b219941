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

type Done<Reply> = (error: ServiceError | null, reply: Reply) => void;

const toPromise = <Reply>(call: (done: Done<Reply>) => void): Promise<Reply> =>
  new Promise((resolve, reject) => {
    call((error, reply) => {
      if (error) reject(error);
      else resolve(reply);
    });
  });

/** Creates a client of a VM's service for operators at `host:port`. */
const createOperatorClient = (
  address: string,
  timeoutMs: number,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const client = new OperatorClient(address, channelCredentials);
  const options = () => ({ deadline: Date.now() + timeoutMs });
  return {
    put: (request: PutDocument): Promise<Change> =>
      toPromise((done) => client.put(request, new Metadata(), options(), done)),
    delete: (request: DeleteDocument): Promise<Change> =>
      toPromise((done) => client.delete(request, new Metadata(), options(), done)),
    list: (request: ListDocuments): Promise<DocumentList> =>
      toPromise((done) => client.list(request, new Metadata(), options(), done)),
    issueKey: (request: IssueKeyRequest): Promise<IssueKeyReply> =>
      toPromise((done) => client.issueKey(request, new Metadata(), options(), done)),
    withdrawKey: (request: WithdrawKeyRequest): Promise<Change> =>
      toPromise((done) => client.withdrawKey(request, new Metadata(), options(), done)),
    status: (): Promise<StatusReply> =>
      toPromise((done) => client.status({}, new Metadata(), options(), done)),
    close: (): void => client.close(),
  };
};

export default createOperatorClient;
