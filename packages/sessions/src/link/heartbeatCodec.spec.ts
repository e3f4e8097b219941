import { expect } from 'chai';
import { Heartbeat } from '../generated/auburngrade/session/v1/session';
import createHeartbeatDecoder from './createHeartbeatDecoder';
import createHeartbeatEncoder from './createHeartbeatEncoder';

const VMS = Array.from({ length: 8 }, (_, index) => `edge-northmere-a-${index}`);

const createHeartbeat = (changes: Partial<Heartbeat> = {}): Heartbeat => ({
  vm: 'edge-northmere-b-1',
  incarnation: 'a1b2c3d4e5f6',
  heard: { vms: VMS },
  confirmedBeat: 1_764_850_000_001,
  documents: ['configuration', 'groups/bales', 'groups/bids', 'groups/lots'].map((key) => ({
    key: `auburngrade/${key}`,
    version: 0,
    era: 1,
    revision: 41,
  })),
  spending: [],
  isLeaving: false,
  beat: 1_764_850_000_000,
  isSettled: true,
  acting: [],
  isStoreReachable: true,
  isStrained: false,
  serving: ['lots'],
  ...changes,
});

/** Encodes and decodes heartbeats as on one stream; returns the sizes in bytes and what is received. */
const transfer = (sent: readonly Heartbeat[]) => {
  const encode = createHeartbeatEncoder();
  const decode = createHeartbeatDecoder();
  const messages = sent.map((next) => Heartbeat.encode(encode(next)).finish());
  return {
    sizes: messages.map((bytes) => bytes.length),
    received: messages.map((bytes) => decode(Heartbeat.decode(bytes))),
  };
};

describe('heartbeat encoder and decoder', () => {
  it('restore every heartbeat in full, whatever changed since the previous one', () => {
    const sent = [
      createHeartbeat(),
      createHeartbeat({ beat: 2 }),
      createHeartbeat({ beat: 3, heard: { vms: VMS.slice(1) } }),
      createHeartbeat({ beat: 4, heard: { vms: [] }, confirmedBeat: 0 }),
      createHeartbeat({
        beat: 5,
        documents: [{ key: 'auburngrade/groups/bids', version: 0, era: 1, revision: 50 }],
      }),
    ];
    const { received } = transfer(sent);
    expect(received.slice(0, 4)).to.deep.equal(sent.slice(0, 4));
    expect(received[4]?.documents).to.deep.include({
      key: 'auburngrade/groups/bids',
      version: 0,
      era: 1,
      revision: 50,
    });
    expect(received[4]?.documents).to.have.length(4);
  });

  it('report a document whose revision is given out again in another era of the store', () => {
    const documents = [{ key: 'auburngrade/groups/bids', version: 0, era: 2, revision: 41 }];
    const { received } = transfer([createHeartbeat(), createHeartbeat({ beat: 2, documents })]);
    expect(received[1]?.documents).to.deep.include(documents[0]);
  });

  it('send an unchanged heartbeat in less than a quarter of the bytes of the first one', () => {
    const [first = 0, second = 0] = transfer([
      createHeartbeat(),
      createHeartbeat({ beat: 2 }),
    ]).sizes;
    expect(second).to.be.below(first / 4);
  });

  it('send the first heartbeat of each stream in full', () => {
    transfer([createHeartbeat()]);
    expect(transfer([createHeartbeat()]).received).to.deep.equal([createHeartbeat()]);
  });
});
