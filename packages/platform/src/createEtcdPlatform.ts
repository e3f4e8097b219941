import {
  credentials,
  Metadata,
  status,
  type ChannelCredentials,
  type ServiceError,
} from '@grpc/grpc-js';
import { notRun, type ConfigurationEntry } from '@auburngrade/coordination';
import type ConditionalPut from './conditionalPut';
import {
  Compare,
  Compare_CompareResult,
  Compare_CompareTarget,
  KVClient,
  RangeRequest,
  type RangeResponse,
  RequestOp,
  WatchClient,
  WatchRequest,
  type TxnResponse,
} from './generated/etcdserverpb/rpc';
import { Event_EventType, type Event } from './generated/mvccpb/kv';
import Platform from './platform';
import prefixEnd from './prefixEnd';
import type RangeOutcome from './rangeOutcome';
import toEntry from './toEntry';
import type WatchListener from './watchListener';
import type WriteOutcome from './writeOutcome';

/** Statuses after which a write certainly had no effect. */
const NOT_SENT_STATUSES = new Set([status.INVALID_ARGUMENT, status.UNIMPLEMENTED]);

const KEYS_PER_PAGE = 500;
/** Time left to calls under way on a replaced connection. */
const CLOSE_DELAY_MS = 10_000;

/** A client's connections are its own, so that silent ones are left with it. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': 67_108_864,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

const toCompare = (put: ConditionalPut): Compare =>
  Compare.fromPartial({
    result: Compare_CompareResult.EQUAL,
    target: Compare_CompareTarget.MOD,
    key: Buffer.from(put.key),
    targetUnion: { $case: 'modRevision', modRevision: put.expectedRevision },
  });

const toOperation = (put: ConditionalPut): RequestOp => {
  const key = Buffer.from(put.key);
  if (put.valueJson === undefined) {
    return RequestOp.fromPartial({
      request: { $case: 'requestDeleteRange', requestDeleteRange: { key } },
    });
  }
  const value = Buffer.from(put.valueJson);
  return RequestOp.fromPartial({ request: { $case: 'requestPut', requestPut: { key, value } } });
};

const toRead = (put: ConditionalPut): RequestOp =>
  RequestOp.fromPartial({
    request: { $case: 'requestRange', requestRange: { key: Buffer.from(put.key) } },
  });

const currentOf = (response: TxnResponse): ConfigurationEntry[] =>
  response.responses.flatMap(({ response: operation }) =>
    operation?.$case === 'responseRange' ? operation.responseRange.kvs.map(toEntry) : [],
  );

const toWriteOutcome = (response: TxnResponse): WriteOutcome => {
  const revision = response.header?.revision ?? 0;
  if (response.succeeded) return { kind: 'applied', revision };
  return { kind: 'conflict', revision, current: currentOf(response) };
};

const toFailure = (error: ServiceError): WriteOutcome => ({
  kind: NOT_SENT_STATUSES.has(error.code) ? 'unavailable' : 'unknown',
  message: error.details,
});

const toChange = (event: Event): ConfigurationEntry => ({
  key: event.kv?.key.toString('utf8') ?? '',
  valueJson: event.type === Event_EventType.DELETE ? undefined : event.kv?.value.toString('utf8'),
  modRevision: event.kv?.modRevision ?? 0,
});

class EtcdPlatform extends Platform {
  private kv: KVClient;

  private watcher: WatchClient;

  constructor(
    private readonly address: string,
    private readonly channelCredentials: ChannelCredentials,
  ) {
    super();
    this.kv = new KVClient(address, channelCredentials, CHANNEL_OPTIONS);
    this.watcher = new WatchClient(address, channelCredentials, CHANNEL_OPTIONS);
  }

  override async range(prefix: string, timeoutMs: number): Promise<RangeOutcome> {
    const deadline = Date.now() + timeoutMs;
    const rangeEnd = prefixEnd(prefix);
    const entries: ConfigurationEntry[] = [];
    let key: Buffer = Buffer.from(prefix);
    let revision = 0;
    for (;;) {
      const request = RangeRequest.fromPartial({ key, rangeEnd, revision, limit: KEYS_PER_PAGE });
      const page = await this.rangePage(request, deadline);
      revision ||= page.header?.revision ?? 0;
      entries.push(...page.kvs.map(toEntry));
      const last = page.kvs.at(-1);
      if (!page.more || !last) return { revision, entries };
      key = Buffer.concat([last.key, Buffer.from([0])]);
    }
  }

  private rangePage(request: RangeRequest, deadline: number): Promise<RangeResponse> {
    const { kv } = this;
    return new Promise((resolve, reject) => {
      kv.range(request, new Metadata(), { deadline }, (error, response) => {
        if (error) this.replaceIfSilent(kv, error);
        if (error) reject(notRun('platformUnavailable', error.details));
        else resolve(response);
      });
    });
  }

  override compareAndSwap(puts: ConditionalPut[], timeoutMs: number): Promise<WriteOutcome> {
    const request = {
      compare: puts.map(toCompare),
      success: puts.map(toOperation),
      failure: puts.map(toRead),
    };
    const { kv } = this;
    return new Promise((resolve) => {
      kv.txn(request, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, response) => {
        if (error) this.replaceIfSilent(kv, error);
        resolve(error ? toFailure(error) : toWriteOutcome(response));
      });
    });
  }

  override watch(prefix: string, fromRevision: number, listener: WatchListener): () => void {
    const stream = this.watcher.watch();
    let ended = false;
    const end = (reason: string): void => {
      if (ended) return;
      ended = true;
      listener.onEnd(reason);
    };
    stream.on('data', (response) => {
      const revision = response.header?.revision ?? 0;
      if (response.canceled) end(response.cancelReason);
      else if (response.events.length > 0) {
        listener.onChanges(revision, response.events.map(toChange));
      } else listener.onProgress(revision);
    });
    stream.on('error', (error: ServiceError) => end(error.details));
    stream.on('end', () => end('watch stream ended'));
    stream.write(
      WatchRequest.fromPartial({
        requestUnion: {
          $case: 'createRequest',
          createRequest: {
            key: Buffer.from(prefix),
            rangeEnd: prefixEnd(prefix),
            startRevision: fromRevision + 1,
            progressNotify: true,
          },
        },
      }),
    );
    return () => {
      ended = true;
      stream.cancel();
    };
  }

  /** A connection on which a call timed out may stay silent for good; later calls get a new one. */
  private replaceIfSilent(kv: KVClient, error: ServiceError): void {
    if (error.code === status.DEADLINE_EXCEEDED && kv === this.kv) this.replaceKv();
  }

  private replaceKv(): void {
    const { kv } = this;
    this.kv = new KVClient(this.address, this.channelCredentials, CHANNEL_OPTIONS);
    setTimeout(() => kv.close(), CLOSE_DELAY_MS).unref();
  }

  override reconnect(): void {
    this.replaceKv();
    this.watcher.close();
    this.watcher = new WatchClient(this.address, this.channelCredentials, CHANNEL_OPTIONS);
  }

  override close(): void {
    this.kv.close();
    this.watcher.close();
  }
}

/** Creates a client of the platform's etcd v3 API at `host:port`. */
const createEtcdPlatform = (
  address: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
): Platform => new EtcdPlatform(address, channelCredentials);

export default createEtcdPlatform;
