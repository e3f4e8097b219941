import {
  Compare_CompareResult,
  Compare_CompareTarget,
  Event_EventType,
  type Compare,
  type Event,
  type KeyValue,
  type RangeRequest,
  type RangeResponse,
  type RequestOp,
  type ResponseOp,
  type TxnRequest,
  type TxnResponse,
} from '@auburngrade/platform';

type WatchListener = (revision: number, events: Event[]) => void;

const emptyHeader = (revision: number) => ({ clusterId: 1, memberId: 1, revision, raftTerm: 1 });

/** In-memory store with the semantics of etcd's KV and Watch, kept from the first revision on. */
const createStore = () => {
  const stored = new Map<string, KeyValue>();
  let history: { revision: number; events: Event[] }[] = [];
  const listeners = new Set<WatchListener>();
  let revision = 1;
  let era = 1;

  const isBetween = (key: string, from: Buffer, end: Buffer): boolean => {
    if (end.length === 0) return key === from.toString();
    return Buffer.compare(Buffer.from(key), from) >= 0 && Buffer.compare(Buffer.from(key), end) < 0;
  };

  const range = (request: RangeRequest): RangeResponse => {
    const kvs = [...stored.entries()]
      .filter(([key]) => isBetween(key, request.key, request.rangeEnd))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([, kv]) => kv);
    return { header: emptyHeader(revision), kvs, more: false, count: kvs.length };
  };

  const compares = (compare: Compare): boolean => {
    const kv = stored.get(compare.key.toString());
    if (compare.result !== Compare_CompareResult.EQUAL) return false;
    if (compare.target === Compare_CompareTarget.MOD) {
      const expected =
        compare.targetUnion?.$case === 'modRevision' ? compare.targetUnion.modRevision : 0;
      return (kv?.modRevision ?? 0) === expected;
    }
    const expected = compare.targetUnion?.$case === 'version' ? compare.targetUnion.version : 0;
    return (kv?.version ?? 0) === expected;
  };

  const put = (key: Buffer, value: Buffer, lease: number, at: number): Event => {
    const current = stored.get(key.toString());
    const kv: KeyValue = {
      key,
      value,
      lease,
      createRevision: current?.createRevision ?? at,
      modRevision: at,
      version: (current?.version ?? 0) + 1,
    };
    stored.set(key.toString(), kv);
    return { type: Event_EventType.PUT, kv, prevKv: current };
  };

  const remove = (key: string, at: number): Event[] => {
    const current = stored.get(key);
    if (!current) return [];
    stored.delete(key);
    const kv = { ...current, value: Buffer.alloc(0), modRevision: at };
    return [{ type: Event_EventType.DELETE, kv, prevKv: current }];
  };

  const apply = (operation: RequestOp, at: number, events: Event[]): ResponseOp => {
    const { request } = operation;
    if (request?.$case === 'requestPut') {
      const { key, value, lease } = request.requestPut;
      events.push(put(key, value, lease, at));
      const responsePut = { header: emptyHeader(at), prevKv: undefined };
      return { response: { $case: 'responsePut', responsePut } };
    }
    if (request?.$case === 'requestDeleteRange') {
      const removed = remove(request.requestDeleteRange.key.toString(), at);
      events.push(...removed);
      const responseDeleteRange = {
        header: emptyHeader(at),
        deleted: removed.length,
        prevKvs: [],
      };
      return { response: { $case: 'responseDeleteRange', responseDeleteRange } };
    }
    if (request?.$case === 'requestRange') {
      return { response: { $case: 'responseRange', responseRange: range(request.requestRange) } };
    }
    return { response: undefined };
  };

  const publish = (events: Event[]): void => {
    if (events.length === 0) return;
    revision += 1;
    history.push({ revision, events });
    listeners.forEach((listener) => listener(revision, events));
  };

  const txn = (request: TxnRequest): TxnResponse => {
    const succeeded = request.compare.every(compares);
    const events: Event[] = [];
    const responses = (succeeded ? request.success : request.failure).map((operation) =>
      apply(operation, revision + 1, events),
    );
    publish(events);
    return { header: emptyHeader(revision), succeeded, responses };
  };

  return {
    revision: () => revision,
    /** Rises by one each time that the store is restored. */
    era: () => era,
    /**
     * Brings back the contents of an earlier revision; later changes are lost, and their revisions are given
     * out again. Keys with another prefix are written again by those who own them, at once.
     */
    restore: (toRevision: number, keptPrefix: string): void => {
      const rewritten = [...stored].filter(([key]) => key.startsWith(keptPrefix));
      era += 1;
      history = history.filter((item) => item.revision <= toRevision);
      revision = toRevision;
      stored.clear();
      history
        .flatMap(({ events }) => events)
        .forEach(({ type, kv }) => {
          if (!kv) return;
          if (type === Event_EventType.DELETE) stored.delete(kv.key.toString());
          else stored.set(kv.key.toString(), kv);
        });
      rewritten.forEach(([, kv]) => publish([put(kv.key, kv.value, kv.lease, revision + 1)]));
    },
    header: () => emptyHeader(revision),
    range,
    txn,
    isBetween,
    putDirect: (key: string, value: string, lease = 0): void => {
      publish([put(Buffer.from(key), Buffer.from(value), lease, revision + 1)]);
    },
    removeDirect: (key: string): void => publish(remove(key, revision + 1)),
    keysOfLease: (lease: number): string[] =>
      [...stored].filter(([, kv]) => kv.lease === lease).map(([key]) => key),
    historyFrom: (from: number) => history.filter((item) => item.revision >= from),
    onChange: (listener: WatchListener): (() => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createStore;
