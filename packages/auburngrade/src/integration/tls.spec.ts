import { readFileSync } from 'node:fs';
import { credentials } from '@grpc/grpc-js';
import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';
import { createOperatorClient } from '@auburngrade/operator';
import { certificatePath, startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { createPeerClient } from '@auburngrade/vm';
import { expect } from 'chai';

const read = (name: string): Buffer => readFileSync(certificatePath(name));
const STATEMENT = {
  profile: 'open',
  group: 'auctions',
  accessMode: AccessMode.READ,
  sql: 'SELECT value FROM items WHERE key = $1',
  parameters: [{ text: 'bale' }],
  timeoutMs: 3_000,
};

describe('TLS', () => {
  let fleet: Fleet;
  const files = {
    certFile: certificatePath('vm.pem'),
    keyFile: certificatePath('vm.key'),
  };
  const mutual = credentials.createSsl(read('authority.pem'), read('vm.key'), read('vm.pem'));
  const strange = credentials.createSsl(
    read('authority.pem'),
    read('stranger.key'),
    read('stranger.pem'),
  );
  const plain = credentials.createInsecure();

  before(async () => {
    fleet = await startFleet({
      clientCredentials: mutual,
      vmSettings: {
        tls: {
          callers: files,
          operators: { ...files, clientCaFile: certificatePath('authority.pem') },
          vms: { ...files, caFile: certificatePath('authority.pem') },
        },
      },
    });
    await fleet.put('profile', 'open', { openToAll: true });
    await fleet.settle();
  });

  after(async () => {
    await fleet?.stop();
  });

  const portsOf = (vm: string) => fleet.vms.get(vm)?.ports;

  const failureOf = async (run: () => Promise<unknown>): Promise<string | undefined> => {
    try {
      await run();
      return undefined;
    } catch (error) {
      return (error as Error).message;
    }
  };

  it('serves callers through every VM, forwarded where needed', async () => {
    for (const { vm } of fleet.names) {
      const client = fleet.caller(vm);
      await waitFor(`${vm} serves`, async () => {
        const outcome = await client.execute(STATEMENT);
        return outcome.verdict === Verdict.RAN;
      });
      client.close();
    }
  });

  it('refuses a plain caller and one that does not trust the certificate', async () => {
    const address = `127.0.0.1:${portsOf('waco-1')?.callerPort}`;
    const distrusting = credentials.createSsl(read('otherAuthority.pem'));
    for (const channelCredentials of [plain, distrusting]) {
      const client = createCallerClient(address, undefined, channelCredentials);
      expect(await failureOf(() => client.execute(STATEMENT))).to.be.a('string');
      client.close();
    }
  });

  it('refuses operators and VMs without a certificate of the authority', async () => {
    const ports = portsOf('waco-1');
    const message = { fromVm: 'x', incarnation: 1, kind: 'platformReach', bodyJson: '{}' };
    const attempt = async (channelCredentials: typeof plain) => {
      const operator = createOperatorClient(
        `127.0.0.1:${ports?.operatorPort}`,
        2_000,
        channelCredentials,
      );
      const peer = createPeerClient(`127.0.0.1:${ports?.vmPort}`, channelCredentials);
      const failures = [
        await failureOf(() => operator.status()),
        await failureOf(() => peer.exchange(message, 2_000)),
      ];
      operator.close();
      peer.close();
      return failures;
    };
    expect(await attempt(mutual)).to.deep.equal([undefined, undefined]);
    for (const refused of [plain, strange, credentials.createSsl(read('authority.pem'))]) {
      expect((await attempt(refused)).every((failure) => failure !== undefined)).to.equal(true);
    }
  });
});
