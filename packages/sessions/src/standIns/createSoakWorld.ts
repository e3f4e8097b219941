import type createPeerLink from '../link/createPeerLink';
import type { FleetDocument, Heartbeat, Hello } from '../generated/auburngrade/session/v1/session';
import type FailoverClient from '../seams/failoverClient';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberConnection from '../seams/memberConnection';
import MemberConnectionError from '../seams/memberConnectionError';
import type MemberDialer from '../seams/memberDialer';
import type MemberReply from '../seams/memberReply';
import type MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import storeKeys from '../fleet/storeKeys';
import createFakeMembers from './createFakeMembers';
import createFakeStore from './createFakeStore';
import createSoakEvacuations from './createSoakEvacuations';
import createVirtualTime from './createVirtualTime';

type Process = ReturnType<ReturnType<typeof createVirtualTime>['startProcess']>;
type OpenPeerLink = typeof createPeerLink;

/** How a VM takes the streams that others open to it. */
interface LinkTarget {
  process: Process;
  onHello(hello: Hello, stream: HeartbeatStream): void;
  onDocument(document: FleetDocument): void;
}

interface HeartbeatStream {
  isOpen(): boolean;
  send(heartbeat: Heartbeat): void;
}

const STORE_TIMEOUT_MS = 1_000;
const WATCH_POLL_INTERVAL_MS = 40;
const REGISTRATION_TTL_MS = 4_000;
const STREAM_SILENCE_MS = 1_000;
const REPLICATION_INTERVAL_MS = 30;
/** A former primary goes on for this long after it reaches the new one. */
const FORMER_PRIMARY_MS = 1_000;
const RESEND_INTERVAL_MS = 20;

/**
 * What surrounds the VMs of a soak: a network with cuts and delays, the store, the groups' endpoints and the failover
 * service. Names of the network: VMs, endpoints, `store` and `platform`.
 */
const createSoakWorld = (random: () => number, groups: ReadonlyMap<string, GroupEndpoint[]>) => {
  const time = createVirtualTime();
  const { post } = time;
  const storeStandIn = createFakeStore();
  const members = new Map(
    [...groups].map(([group, endpoints]) => [group, createFakeMembers(endpoints)]),
  );
  const primaryInForce = new Map([...groups].map(([group, [first]]) => [group, first?.id ?? '']));
  const newestFences = new Map<string, number>();
  const cuts = new Map<string, number>();
  const linkTargets = new Map<string, LinkTarget>();
  /** Requests of writes and commits that a former primary ran, with the primary in force then. */
  const ranAtFormer = new Map<string, string>();
  /** VMs whose watches miss changes. */
  const watchesMissing = new Set<string>();
  const registrationLapses = new Map<string, number>();
  const violations: string[] = [];
  const state = {
    isStoreSlow: false,
    isPromotionSlow: false,
    promotions: 0,
    formerRuns: 0,
    evacuations: 0,
  };

  const isCut = (from: string, to: string): boolean => (cuts.get(`${from}>${to}`) ?? 0) > 0;
  const evacuations = createSoakEvacuations({
    time,
    store: storeStandIn,
    processes: () => new Map([...linkTargets].map(([vm, { process }]) => [vm, process])),
    isApart: (vm) =>
      isCut(vm, 'store') || isCut('store', vm) || watchesMissing.has(vm) || state.isStoreSlow,
    onViolation: (violation) => violations.push(violation),
  });
  const latencyMs = (): number => 1 + random() * (random() < 0.03 ? 300 : 15);
  const between = (minMs: number, maxMs: number): number => minMs + random() * (maxMs - minMs);

  /** Settles with what `act` returns at the other place; never if the request or its answer is lost. */
  const ask = <Answer>(
    from: { name: string; process: Process },
    to: string,
    act: () => Promise<Answer>,
  ): Promise<Answer> =>
    new Promise((resolve, reject) => {
      const answer = (settle: () => void): void => {
        post(undefined, latencyMs(), () => {
          if (!isCut(to, from.name)) post(from.process, 0, settle);
        });
      };
      post(undefined, latencyMs(), () => {
        if (isCut(from.name, to)) return;
        act().then(
          (value) => answer(() => resolve(value)),
          (error) => answer(() => reject(error)),
        );
      });
    });
  const waitInWorld = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      post(undefined, ms, resolve);
    });
  const expireAfter = <Answer>(
    process: Process,
    ms: number,
    answer: Promise<Answer>,
    error: Error,
  ): Promise<Answer> =>
    Promise.race([
      answer,
      new Promise<Answer>((_resolve, reject) => {
        time.postTimer(process, ms, () => reject(error));
      }),
    ]);

  const createStore = (name: string, process: Process): MetadataStore => {
    const { store } = storeStandIn;
    const call = <Answer>(act: () => Promise<Answer>): Promise<Answer> => {
      const answer = ask({ name, process }, 'store', async () => {
        if (state.isStoreSlow) await waitInWorld(between(50, 3_000));
        return act();
      });
      const error = new StoreError('mayHaveRun', 'the store did not answer');
      return expireAfter(process, STORE_TIMEOUT_MS, answer, error);
    };
    const unused = async (): Promise<never> => {
      throw new StoreError('notRun', 'not simulated');
    };
    return {
      era: () => store.era(),

      onEraChange: () => undefined,

      get: (key) => call(() => store.get(key)),

      list: (prefix) => call(() => store.list(prefix)),

      commit: (commit) => call(() => store.commit(commit)),

      watch: (prefix, after, waitMs) => {
        const untilMs = time.nowMs() + waitMs;
        const awaitChanges = async () => {
          for (;;) {
            const answer = await store.watch(prefix, after, 0);
            if (answer === 'compacted') return answer;
            const { events: all, revision } = answer;
            const events = watchesMissing.has(name) ? [] : all;
            if (events.length > 0 || time.nowMs() >= untilMs) return { events, revision };
            if (isCut(name, 'store')) throw new StoreError('notRun', 'the watch was cut');
            await waitInWorld(WATCH_POLL_INTERVAL_MS);
          }
        };
        const answer = ask({ name, process }, 'store', awaitChanges);
        const error = new StoreError('notRun', 'the watch is silent');
        return expireAfter(process, waitMs + STORE_TIMEOUT_MS, answer, error);
      },
      grantLease: unused,

      renewLease: unused,

      revokeLease: unused,
    };
  };

  /** Registers a VM for the time of a lease; rejects if the store can't be reached. */
  const register = async (vm: string, process: Process, value: string): Promise<void> => {
    const key = storeKeys.vmPrefix + vm;
    const answer = ask({ name: vm, process }, 'store', async () => {
      const isRenewal = storeStandIn.read(key)?.value === value;
      if (!isRenewal) storeStandIn.put(key, value);
      const lapsesAtMs = time.nowMs() + REGISTRATION_TTL_MS;
      registrationLapses.set(key, lapsesAtMs);
      post(undefined, REGISTRATION_TTL_MS, () => {
        if (registrationLapses.get(key) === lapsesAtMs) storeStandIn.remove(key);
      });
    });
    const error = new StoreError('mayHaveRun', 'the store did not answer');
    await expireAfter(process, STORE_TIMEOUT_MS, answer, error);
  };

  const recordRun = (group: string, endpoint: string, command: MemberCommand): void => {
    const inForce = primaryInForce.get(group) ?? '';
    if (command.kind !== 'forward' || endpoint === inForce) return;
    state.formerRuns += 1;
    ranAtFormer.set(command.requestId, inForce);
  };

  const createDialer = (name: string, process: Process): MemberDialer => {
    const statusByReply = new WeakMap<MemberReply, ReturnType<MemberDialer['readStatus']>>();
    const wrap = (
      endpoint: GroupEndpoint,
      inner: MemberConnection,
      dialer: MemberDialer,
    ): MemberConnection => {
      const { group, id } = endpoint;
      const pendingRejects = new Set<(error: Error) => void>();
      let isClosed = false;
      const broken = () => new MemberConnectionError('broken', 'the connection was closed');
      const act = async (command: MemberCommand): Promise<MemberReply> => {
        evacuations.checkArrival(name, process, endpoint, command.kind);
        await waitInWorld(between(1, random() < 0.1 ? 1_500 : 30));
        const isCommit = command.kind === 'forward' && command.text === 'COMMIT';
        if (isCommit && !members.get(group)?.listPrimaries().includes(id))
          return { rows: [], state: 'failed', failure: { kind: 'readOnly', message: 'readOnly' } };
        const reply = await inner.send(command);
        const isLone = command.kind === 'forward' && reply.state === 'idle';
        if (isLone && !reply.failure) recordRun(group, id, command);
        if (command.kind === 'status') statusByReply.set(reply, dialer.readStatus(reply));
        return reply;
      };
      return {
        initialPosition: inner.initialPosition,
        send: (command) =>
          new Promise((resolve, reject) => {
            if (isClosed) reject(broken());
            pendingRejects.add(reject);
            ask({ name, process }, id, () => act(command))
              .then(resolve, () => reject(broken()))
              .finally(() => pendingRejects.delete(reject));
          }),
        close: () => {
          if (isClosed) return;
          isClosed = true;
          pendingRejects.forEach((reject) => reject(broken()));
          // What was sent before may still run.
          post(undefined, between(20, 400), inner.close);
        },
        onEnd: () => undefined,
      };
    };
    return {
      open: async (endpoint, account, ms) => {
        const { dialer } = members.get(endpoint.group) as ReturnType<typeof createFakeMembers>;
        const opening = ask({ name, process }, endpoint.id, () => {
          evacuations.checkArrival(name, process, endpoint, 'opening');
          return dialer.open(endpoint, account, ms);
        });
        const error = new MemberConnectionError('silent', 'the endpoint did not answer');
        return wrap(endpoint, await expireAfter(process, ms, opening, error), dialer);
      },
      canSend: () => true,
      readStatus: (reply) => statusByReply.get(reply),
    };
  };

  const takeEffect = (group: string, endpoint: string): void => {
    if (primaryInForce.get(group) === endpoint) return;
    state.promotions += 1;
    primaryInForce.set(group, endpoint);
    members.get(group)?.promote(endpoint, false);
  };
  const createFailover = (name: string, process: Process): FailoverClient => ({
    promote: async (group, endpoint, _holder, fence) => {
      const answer = ask({ name, process }, 'platform', async () => {
        const newest = newestFences.get(group) ?? 0;
        if (fence <= newest) violations.push(`${group}: fence ${fence} of ${name} at ${newest}`);
        newestFences.set(group, Math.max(fence, newest));
        if (isCut('platform', endpoint)) return 'rejected' as const;
        post(undefined, between(300, 600), () => takeEffect(group, endpoint));
        if (state.isPromotionSlow) await waitInWorld(between(500, 3_000));
        return 'accepted' as const;
      });
      return expireAfter(process, 2_500, answer, new Error('lost')).catch(
        () => 'mayHaveRun' as const,
      );
    },
  });

  /** Delivers in order, and later what was sent during a cut, until the stream is opened anew. */
  const createChannel = (from: string, to: string, owner: Process, isOpen: () => boolean) => {
    const queue: (() => void)[] = [];
    let dueMs = 0;
    const pump = (): void => {
      if (!isOpen()) return;
      if (isCut(from, to)) post(undefined, RESEND_INTERVAL_MS, pump);
      else queue.splice(0).forEach((deliver) => post(owner, 0, () => isOpen() && deliver()));
    };
    return (deliver: () => void): void => {
      dueMs = Math.max(dueMs, time.nowMs() + latencyMs());
      post(undefined, dueMs - time.nowMs(), () => {
        queue.push(deliver);
        if (queue.length === 1) pump();
      });
    };
  };

  const createLinkOpener =
    (process: Process): OpenPeerLink =>
    ({ vm, self, onHeartbeat }) => {
      let stream = {};
      let isUp = false;
      let isClosed = false;
      let receivedAtMs = 0;
      let sendToPeer = (_deliver: (target: LinkTarget) => void): void => undefined;
      const openStream = (): void => {
        const opened = {};
        stream = opened;
        isUp = false;
        receivedAtMs = time.steadyMs(process);
        const target = linkTargets.get(vm);
        if (!target) return;
        const isOpen = (): boolean =>
          stream === opened && !isClosed && process.isAlive && target.process.isAlive;
        const toPeer = createChannel(self.vm, vm, target.process, isOpen);
        const fromPeer = createChannel(vm, self.vm, process, isOpen);
        sendToPeer = (deliver) => toPeer(() => deliver(target));
        const receive = (heartbeat: Heartbeat): void => {
          if (!isOpen()) return;
          receivedAtMs = time.steadyMs(process);
          isUp = true;
          onHeartbeat?.(heartbeat);
        };
        const send = (heartbeat: Heartbeat): void => fromPeer(() => receive(heartbeat));
        sendToPeer(({ onHello }) => onHello(self, { isOpen, send }));
      };
      const checkTimer = setInterval(() => {
        if (time.steadyMs(process) - receivedAtMs > STREAM_SILENCE_MS) openStream();
      }, 100);
      openStream();
      return {
        isUp: () => isUp,
        open: () => undefined,
        call: () => Promise.reject(new Error('calls are sent by the soak itself')),
        endTransaction: () => undefined,
        endSession: () => undefined,
        sendDocument: (document) => sendToPeer((target) => target.onDocument(document)),
        close: () => {
          isClosed = true;
          clearInterval(checkTimer);
        },
      };
    };

  const reachedSinceMs = new Map<string, number>();
  const replicate = (): void => {
    members.forEach((standIn, group) => {
      const inForce = primaryInForce.get(group) ?? '';
      standIn.replicate();
      standIn
        .listPrimaries()
        .filter((id) => id !== inForce)
        .forEach((id) => {
          if (isCut(id, inForce)) reachedSinceMs.delete(id);
          else if (!reachedSinceMs.has(id)) reachedSinceMs.set(id, time.nowMs());
          if (time.nowMs() - (reachedSinceMs.get(id) ?? time.nowMs()) < FORMER_PRIMARY_MS) return;
          standIn.stepDown(id);
          reachedSinceMs.delete(id);
        });
    });
    post(undefined, REPLICATION_INTERVAL_MS, replicate);
  };
  post(undefined, 0, replicate);

  return {
    time,
    state,
    violations,
    ranAtFormer,
    members,
    primaryInForce,
    watchesMissing,
    linkTargets,
    register,
    ask,
    createStore,
    createDialer,
    createFailover,
    createLinkOpener,
    /** Cuts one direction between two places; returns what heals it. */
    cut: (from: string, to: string): (() => void) => {
      const path = `${from}>${to}`;
      cuts.set(path, (cuts.get(path) ?? 0) + 1);
      return () => cuts.set(path, (cuts.get(path) ?? 1) - 1);
    },
    isCut,
    evacuations,
  };
};

export default createSoakWorld;
