import {
  createConfigurationState,
  documentKinds,
  groupSchema,
  toRefusal,
  type EvacuationPhase,
  type TermRecord,
} from '@auburngrade/coordination';
import { expect } from 'chai';
import createPrimaryWaiter from './createPrimaryWaiter';

const WAIT_MS = 2_000;
const DATA_CENTRES = ['waco', 'temple'];

const createFixture = () => {
  const configuration = createConfigurationState();
  const phases = new Map<string, EvacuationPhase>();
  const listeners: (() => void)[] = [];
  const state = { unansweredSinceMs: undefined as number | undefined };
  const record: TermRecord = { term: 1, state: 'active', primary: 'm1', history: [] };
  const members = DATA_CENTRES.map((dataCentre, index) => ({
    name: `m${index + 1}`,
    dataCentre,
    host: '127.0.0.1',
    port: 1 + index,
    replicationPort: 10 + index,
  }));
  const nowMs = (): number => performance.now();
  const waiter = createPrimaryWaiter({
    configuration,
    dataCentres: {
      phaseOf: (dataCentre) => phases.get(dataCentre) ?? 'inService',
      onChange: (listener) => {
        listeners.push(listener);
        return () => undefined;
      },
    },
    nowMs,
  });
  const groupClient = {
    name: 'ranch',
    group: groupSchema.parse({ members }),
    record: () => record,
    views: () =>
      members.map(({ name }) => ({
        member: name,
        status: undefined,
        unansweredSinceMs: name === 'm2' ? state.unansweredSinceMs : undefined,
      })),
  };
  return {
    record,
    state,
    setPhase: (dataCentre: string, phase: EvacuationPhase): void => {
      phases.set(dataCentre, phase);
      const key = documentKinds.dataCentre.prefix + dataCentre;
      const valueJson = JSON.stringify({ state: 'evacuated' });
      const modRevision = configuration.revision() + 1;
      configuration.applyChanges(modRevision, [{ key, valueJson, modRevision }]);
      listeners.forEach((listener) => listener());
    },
    /** What becomes of a statement, and whether it was told before the end of its time. */
    wait: async () => {
      const startedAtMs = nowMs();
      const result = await waiter.wait(groupClient, startedAtMs + WAIT_MS).then(
        () => 'allowed',
        (error: unknown) => toRefusal(error).code,
      );
      return { result, isEarly: nowMs() - startedAtMs < WAIT_MS / 2 };
    },
  };
};

describe('createPrimaryWaiter', () => {
  describe('with the primary in an evacuated data centre', () => {
    it('delays statements until another member is primary', async () => {
      const { record, setPhase, wait } = createFixture();
      setPhase('waco', 'evacuated');
      const waiting = wait();
      Object.assign(record, { term: 2, primary: 'm2' });
      setPhase('bryan', 'evacuating');
      expect(await waiting).to.deep.equal({ result: 'allowed', isEarly: true });
    });

    it('refuses those that wait once another evacuation leaves no candidate', async () => {
      const { setPhase, state, wait } = createFixture();
      setPhase('waco', 'evacuated');
      const waiting = wait();
      state.unansweredSinceMs = Number.NEGATIVE_INFINITY;
      setPhase('temple', 'evacuating');
      expect(await waiting).to.deep.equal({ result: 'dataCentreEvacuated', isEarly: true });
      expect(await wait()).to.deep.equal({ result: 'dataCentreEvacuated', isEarly: true });
    });

    it('refuses those that wait once the only candidate stops answering', async () => {
      const { setPhase, state, wait } = createFixture();
      setPhase('waco', 'evacuated');
      const waiting = wait();
      state.unansweredSinceMs = Number.NEGATIVE_INFINITY;
      expect(await waiting).to.deep.equal({ result: 'dataCentreEvacuated', isEarly: true });
    });
  });
});
