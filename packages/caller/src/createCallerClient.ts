import { createReplyMatcher } from '@auburngrade/coordination';
import { credentials, Metadata, type ChannelCredentials } from '@grpc/grpc-js';
import {
  ProxyClient,
  Statement,
  type Outcome,
  type TransactionReply,
  type TransactionStep,
} from './generated/auburngrade/caller/v1/caller';

/** Added to a statement's timeout so that the VM's reply arrives before the deadline of the call. */
const DEADLINE_MARGIN_MS = 1_000;

const createMetadata = (key: string | undefined): Metadata => {
  const metadata = new Metadata();
  if (key !== undefined) metadata.set('authorization', `Bearer ${key}`);
  return metadata;
};

/** Creates a client of a VM's Proxy service at `host:port`. */
const createCallerClient = (
  address: string,
  key?: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const client = new ProxyClient(address, channelCredentials);
  return {
    /** Runs one statement. Rejects with a gRPC status when no outcome arrives. */
    execute: (statement: Partial<Statement>): Promise<Outcome> =>
      new Promise((resolve, reject) => {
        const request = Statement.fromPartial(statement);
        const deadline = Date.now() + Math.max(request.timeoutMs, 0) + DEADLINE_MARGIN_MS;
        client.execute(request, createMetadata(key), { deadline }, (error, outcome) => {
          if (error) reject(error);
          else resolve(outcome);
        });
      }),
    /** Opens a transaction; `step` resolves with the reply that has the same step number. */
    transact: () => {
      const stream = client.transact(createMetadata(key));
      const matcher = createReplyMatcher<TransactionReply>();
      stream.on('data', matcher.resolveReply);
      stream.on('error', matcher.fail);
      stream.on('end', () => matcher.fail(new Error('transaction stream was ended by the VM')));
      return {
        step: (body: NonNullable<TransactionStep['body']>): Promise<TransactionReply> => {
          const { step, reply } = matcher.allocateStep();
          stream.write({ step, body });
          return reply;
        },
        end: (): void => {
          stream.end();
        },
        cancel: (): void => stream.cancel(),
      };
    },
    close: (): void => client.close(),
  };
};

export default createCallerClient;
