import {
  Metadata,
  Server,
  ServerCredentials,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import { eraOfPosition, revisionOfPosition, toHistoryPosition } from '@auburngrade/coordination';
import { expect } from 'chai';
import type ConfigurationStore from './configurationStore';
import createEtcdConfigurationStore from './createEtcdConfigurationStore';
import {
  KVService,
  WatchService,
  RangeResponse,
  TxnResponse,
  type KVServer,
  type TxnRequest,
  type WatchServer,
} from './generated/etcdserverpb/rpc';

const KEY = '/auburngrade/term/lots';
const TIMEOUT_MS = 2_000;

interface Answer<Reply> {
  era: number;
  reply: Reply;
  delayMs?: number;
}

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const headerAt = (revision: number) => ({ clusterId: 1, memberId: 1, revision, raftTerm: 1 });

const keyValue = (value: object, modRevision: number) => ({
  key: Buffer.from(KEY),
  value: Buffer.from(JSON.stringify(value)),
  createRevision: 1,
  modRevision,
  version: 1,
  lease: 0,
});

describe('createEtcdConfigurationStore', () => {
  let server: Server;
  let store: ConfigurationStore;
  let ranges: Answer<RangeResponse>[] = [];
  let txns: Answer<TxnResponse>[] = [];
  let watchEra = 1;
  const requests: TxnRequest[] = [];

  const eraMetadata = (era: number): Metadata => {
    const metadata = new Metadata();
    metadata.set('store-era', String(era));
    return metadata;
  };
  const respond = <Request, Reply>(
    answer: Answer<Reply> | undefined,
    call: ServerUnaryCall<Request, Reply>,
    callback: sendUnaryData<Reply>,
  ): void => {
    setTimeout(() => {
      call.sendMetadata(eraMetadata(answer?.era ?? 0));
      callback(null, answer?.reply);
    }, answer?.delayMs ?? 0);
  };

  const rangeAt = (revision: number, kvs: RangeResponse['kvs'] = []): RangeResponse =>
    RangeResponse.fromPartial({ header: headerAt(revision), kvs, more: false, count: kvs.length });
  const applied = (revision: number): TxnResponse =>
    TxnResponse.fromPartial({ header: headerAt(revision), succeeded: true, responses: [] });
  const conflict = (revision: number, kvs: RangeResponse['kvs']): TxnResponse =>
    TxnResponse.fromPartial({
      header: headerAt(revision),
      succeeded: false,
      responses: [{ response: { $case: 'responseRange', responseRange: rangeAt(revision, kvs) } }],
    });
  const learnEra = async (era: number): Promise<void> => {
    ranges = [{ era, reply: rangeAt(10) }];
    await store.range(KEY, TIMEOUT_MS);
  };
  const write = (era: number, revision: number) =>
    store.compareAndSwap(
      [{ key: KEY, valueJson: '{"term":4}', expectedRevision: toHistoryPosition(era, revision) }],
      TIMEOUT_MS,
    );

  before(async () => {
    server = new Server();
    const kv: KVServer = {
      range: (call, callback) => respond(ranges.shift(), call, callback),
      txn: (call, callback) => {
        requests.push(call.request);
        respond(txns.shift(), call, callback);
      },
    };
    const watch: WatchServer = {
      watch: (stream) => stream.sendMetadata(eraMetadata(watchEra)),
    };
    server.addService(KVService, kv);
    server.addService(WatchService, watch);
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
        error ? reject(error) : resolve(bound),
      );
    });
    store = createEtcdConfigurationStore(`127.0.0.1:${port}`);
  });
  after(() => {
    store.close();
    server.forceShutdown();
  });
  beforeEach(() => {
    requests.length = 0;
  });

  describe('when the store comes back from a copy', () => {
    it('counts a late answer of an earlier era in that era', async () => {
      ranges = [
        { era: 1, reply: rangeAt(100), delayMs: 150 },
        { era: 2, reply: rangeAt(91) },
      ];
      const [late, next] = await Promise.all([
        store.range(KEY, TIMEOUT_MS),
        sleep(30).then(() => store.range(KEY, TIMEOUT_MS)),
      ]);
      expect(late.revision).to.equal(toHistoryPosition(1, 100));
      expect(next.revision).to.equal(toHistoryPosition(2, 91));
    });

    it('counts a value in the era in which it was written, and returns it without the era', async () => {
      ranges = [{ era: 2, reply: rangeAt(91, [keyValue({ storeEra: 1, term: 3 }, 88)]) }];
      const { entries } = await store.range(KEY, TIMEOUT_MS);
      expect(entries).to.deep.equal([
        { key: KEY, valueJson: '{"term":3}', modRevision: toHistoryPosition(1, 88) },
      ]);
    });

    it('replaces the older state that the copy has by a write that expects a lost one', async () => {
      await learnEra(2);
      txns = [
        { era: 2, reply: conflict(91, [keyValue({ storeEra: 1, term: 2 }, 88)]) },
        { era: 2, reply: applied(92) },
      ];
      expect(await write(1, 100)).to.deep.equal({
        kind: 'applied',
        revision: toHistoryPosition(2, 92),
      });
      const expected = requests.map(({ compare: [first] }) =>
        first?.targetUnion?.$case === 'modRevision' ? first.targetUnion.modRevision : undefined,
      );
      expect(expected).to.deep.equal([100, 88]);
    });

    it('does not replace a state that was written since', async () => {
      await learnEra(2);
      txns = [{ era: 2, reply: conflict(93, [keyValue({ storeEra: 2, term: 3 }, 93)]) }];
      expect((await write(1, 100)).kind).to.equal('conflict');
      expect(requests).to.have.length(1);
    });

    it('reports a write that matched a revision of an earlier era by chance as unknown', async () => {
      await learnEra(2);
      txns = [{ era: 3, reply: applied(95) }];
      expect((await write(2, 91)).kind).to.equal('unknown');
    });

    it('ends a watch that starts in another era', async () => {
      watchEra = 4;
      const reason = await new Promise<string>((resolve) => {
        store.watch('/auburngrade/', toHistoryPosition(3, 95), {
          onChanges: () => undefined,
          onProgress: () => undefined,
          onEnd: resolve,
        });
      });
      expect(reason).to.equal('the store is in era 4');
    });
  });

  it('counts by revision alone on a store without eras', () => {
    const position = toHistoryPosition(0, 12);
    expect([position, eraOfPosition(position), revisionOfPosition(position)]).to.deep.equal([
      12, 0, 12,
    ]);
  });
});
