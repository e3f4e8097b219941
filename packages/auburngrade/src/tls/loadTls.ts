import { readFileSync } from 'node:fs';
import { checkServerIdentity } from 'node:tls';
import { ServerCredentials, credentials, type ChannelCredentials } from '@grpc/grpc-js';
import type Logger from '../log/logger';
import type Settings from '../settings/settings';

type ServerTls = Exclude<Settings['tls']['callers'], 'plain'>;
type MutualTls = Exclude<Settings['tls']['vms'], 'plain'>;

/** Credentials of a daemon's servers and of its connections to other VMs. */
interface Tls {
  callers: ServerCredentials;
  operators: ServerCredentials;
  vms: ServerCredentials;
  vmClients: ChannelCredentials;
}

const readPem = (path: string, file: string): Buffer => {
  try {
    return readFileSync(file);
  } catch (error) {
    throw new Error(`${path}: ${(error as Error).message}`);
  }
};

const createServerCredentials = (path: string, { certFile, keyFile, clientCaFile }: ServerTls) => {
  const keyPair = {
    cert_chain: readPem(`${path}.certFile`, certFile),
    private_key: readPem(`${path}.keyFile`, keyFile),
  };
  const clientCa =
    clientCaFile === undefined ? null : readPem(`${path}.clientCaFile`, clientCaFile);
  return ServerCredentials.createSsl(clientCa, [keyPair], clientCa !== null);
};

const createVmClientCredentials = ({
  caFile,
  keyFile,
  certFile,
  serverName,
}: MutualTls): ChannelCredentials =>
  credentials.createSsl(
    readPem('tls.vms.caFile', caFile),
    readPem('tls.vms.keyFile', keyFile),
    readPem('tls.vms.certFile', certFile),
    serverName === undefined
      ? {}
      : {
          checkServerIdentity: (_host, certificate) => checkServerIdentity(serverName, certificate),
        },
  );

/** Reads the TLS files named in the settings. @throws Error with the setting and the file */
const loadTls = ({ tls }: Pick<Settings, 'tls'>, logger: Logger): Tls => {
  const { callers, operators, vms } = tls;
  const plainConnections = Object.entries(tls).filter(([, value]) => value === 'plain');
  plainConnections.forEach(([side]) => logger.warn('tls.plain', { setting: `tls.${side}` }));
  const insecure = ServerCredentials.createInsecure();
  return {
    callers: callers === 'plain' ? insecure : createServerCredentials('tls.callers', callers),
    operators:
      operators === 'plain' ? insecure : createServerCredentials('tls.operators', operators),
    vms:
      vms === 'plain'
        ? insecure
        : createServerCredentials('tls.vms', { ...vms, clientCaFile: vms.caFile }),
    vmClients: vms === 'plain' ? credentials.createInsecure() : createVmClientCredentials(vms),
  };
};

export default loadTls;
