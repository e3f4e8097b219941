import { expect } from 'chai';
import sleep from '../time/sleep';
import createDocuments from './createDocuments';
import createEvacuations from './createEvacuations';
import storeKeys from './storeKeys';

const PREFIX = 'operator/evacuate/';
const log = { info: () => undefined, warn: () => undefined };
const put = (name: string, revision: number) => ({ key: PREFIX + name, revision });
const removal = (name: string, revision: number) => ({
  ...put(name, revision),
  isDeleted: true as const,
});

const createVm = (boundMs = 5_000) => {
  const clock = { ms: 1_000 };
  const nowMs = (): number => clock.ms;
  const documents = createDocuments({ nowMs, log, readOrigin: () => ({}) });
  const evacuations = createEvacuations({ documents, prefix: PREFIX, boundMs, log, nowMs });
  const document = () => {
    const known = documents.get(storeKeys.evacuations);
    if (!known) throw new Error('no document');
    return known;
  };
  return { clock, documents, evacuations, document };
};

describe('createEvacuations', () => {
  let vm = createVm();
  beforeEach(() => {
    vm = createVm();
  });
  afterEach(() => vm.evacuations.close());

  it('takes no data centre as evacuated before it knows any', () => {
    expect(vm.evacuations.phaseOf('waco')).to.equal('inService');
  });

  it('stops sending 3 s before the bound, since the change may have taken long to arrive', () => {
    vm.evacuations.takeList([put('waco', 4)], { era: 0, revision: 9 });
    vm.clock.ms += 1_999;
    expect(vm.evacuations.phaseOf('waco')).to.equal('evacuating');
    vm.clock.ms += 1;
    expect(vm.evacuations.phaseOf('waco')).to.equal('evacuated');
    expect(vm.evacuations.phaseOf('temple')).to.equal('inService');
  });

  it('keeps when an evacuation began over a later list of the same keys', () => {
    vm.evacuations.takeList([put('waco', 4)], { era: 0, revision: 9 });
    vm.clock.ms += 2_500;
    vm.evacuations.takeList([put('waco', 4), put('temple', 12)], { era: 0, revision: 12 });
    expect(vm.evacuations.phaseOf('waco')).to.equal('evacuated');
    expect(vm.evacuations.phaseOf('temple')).to.equal('evacuating');
  });

  it('starts anew for a data centre that was in service in between', () => {
    vm.evacuations.takeList([put('waco', 4)], { era: 0, revision: 9 });
    vm.evacuations.takeEvents([removal('waco', 10)], 0);
    expect(vm.evacuations.phaseOf('waco')).to.equal('inService');
    vm.clock.ms += 2_500;
    vm.evacuations.takeEvents([put('waco', 11)], 0);
    expect(vm.evacuations.phaseOf('waco')).to.equal('evacuating');
  });

  it('ignores keys that name no data centre, and other keys of the operators', () => {
    vm.evacuations.takeList([put('', 4), { key: 'operator/config' }], { era: 0, revision: 9 });
    vm.evacuations.takeEvents([put('', 10), { key: 'operator/config', revision: 11 }], 0);
    expect(vm.evacuations.dataCentres()).to.deep.equal([]);
  });

  it('calls its listeners when statements may no longer be sent', async () => {
    vm = createVm(3_020);
    let calls = 0;
    vm.evacuations.onChange(() => {
      calls += 1;
    });
    vm.evacuations.takeList([put('waco', 4)], { era: 0, revision: 9 });
    expect(calls).to.equal(1);
    await sleep(40);
    expect(calls).to.equal(2);
  });

  describe('with a document of another VM', () => {
    it('does not apply changes that the document includes already', () => {
      vm.evacuations.takeList([], { era: 0, revision: 5 });
      const value = '{"dataCentres":["temple"]}';
      vm.documents.putIfNewer({ key: storeKeys.evacuations, value, era: 0, revision: 8 });
      vm.evacuations.takeEvents([put('waco', 6), removal('waco', 7), put('temple', 8)], 0);
      expect(vm.evacuations.dataCentres()).to.deep.equal(['temple']);
    });

    it('does not take an evacuation back on the word of a VM that knows less', () => {
      vm.evacuations.takeEvents([put('waco', 6)], 0);
      const value = '{"dataCentres":[]}';
      vm.documents.putIfNewer({ key: storeKeys.evacuations, value, era: 0, revision: 5 });
      expect(vm.evacuations.dataCentres()).to.deep.equal(['waco']);
    });

    it('outranks it by a list of the same set, since a list shows no removals', () => {
      vm.evacuations.takeList([], { era: 0, revision: 13 });
      const value = '{"dataCentres":["waco"]}';
      vm.documents.putIfNewer({ key: storeKeys.evacuations, value, era: 0, revision: 11 });
      expect(vm.evacuations.dataCentres()).to.deep.equal([]);
      expect(vm.document().revision).to.equal(13);
    });

    it('ignores one that can not be read', () => {
      vm.evacuations.takeList([put('waco', 4)], { era: 0, revision: 9 });
      const value = '{"dataCentres":"waco"}';
      vm.documents.putIfNewer({ key: storeKeys.evacuations, value, era: 0, revision: 10 });
      expect(vm.evacuations.dataCentres()).to.deep.equal(['waco']);
    });
  });

  describe('on a store that was restored from an older copy', () => {
    it('takes what the store lists, also under lower revisions', () => {
      vm.evacuations.takeList([put('waco', 40)], { era: 1, revision: 90 });
      vm.evacuations.takeList([put('temple', 4)], { era: 2, revision: 9 });
      expect(vm.evacuations.dataCentres()).to.deep.equal(['temple']);
      vm.evacuations.takeEvents([removal('temple', 91)], 1);
      expect(vm.evacuations.dataCentres()).to.deep.equal(['temple']);
    });
  });
});
