import { expect } from 'chai';
import type GroupEndpoint from '../seams/groupEndpoint';
import mergeEndpointEntries from './mergeEndpointEntries';

const createEntry = (changes: Partial<GroupEndpoint> = {}): GroupEndpoint => ({
  id: 'p',
  group: 'auctions',
  address: 'p:1',
  dataCentre: 'waco',
  slots: 3,
  isLeaving: false,
  warmupLeftMs: 0,
  isRegisteredAsPrimary: true,
  startedAtUnixMs: 1_000,
  sequence: 5,
  ...changes,
});

describe('mergeEndpointEntries', () => {
  it('keeps an endpoint leaving that a restored store lists as ready', () => {
    const leaving = createEntry({ isLeaving: true, sequence: 6 });
    expect(mergeEndpointEntries([leaving], [createEntry()])).to.deep.equal([leaving]);
  });

  it('takes the entry of a process that started later, though its numbers start anew', () => {
    const restarted = createEntry({ startedAtUnixMs: 2_000, sequence: 1 });
    expect(mergeEndpointEntries([createEntry()], [restarted])).to.deep.equal([restarted]);
    expect(mergeEndpointEntries([restarted], [createEntry()])).to.deep.equal([restarted]);
  });

  it('lists what the store lists: new endpoints, and not those that it lacks', () => {
    const other = createEntry({ id: 'r' });
    expect(mergeEndpointEntries([createEntry()], [other])).to.deep.equal([other]);
  });
});
