import freePort from '../process/freePort';
import startProcess from '../process/startProcess';
import programPath from './programPath';

interface MemberOptions {
  name: string;
  dataCentre: string;
  upstream?: { host: string; port: number };
  replicationLagMs?: number;
  connectionLimit?: number;
}

interface MemberState {
  role: string;
  fencedTerm: number;
  logTerm: number;
  position: number;
  connections: number;
  mostConnections: number;
  refusedConnections: number;
  items: Record<string, string>;
  /** States of the request ids that the member's log has. */
  requests: Record<string, string>;
}

/** Starts a stand-in member of a database group as a process. */
const startMember = async ({ dataCentre, ...options }: MemberOptions) => {
  const [port, replicationPort, controlPort] = [
    await freePort(),
    await freePort(),
    await freePort(),
  ];
  const settings = { ...options, port, replicationPort, controlPort };
  const child = await startProcess({
    command: process.execPath,
    args: [programPath('testkit/member.cjs'), JSON.stringify(settings)],
    readyText: 'ready',
  });
  const control = async (query: string): Promise<MemberState> => {
    const response = await fetch(`http://127.0.0.1:${controlPort}/${query}`);
    return (await response.json()) as MemberState;
  };
  return {
    ...child,
    name: options.name,
    dataCentre,
    port,
    replicationPort,
    state: () => control(''),
    tune: (name: 'replicationLagMs' | 'statementDelayMs', value: number) =>
      control(`?${name}=${value}`),
  };
};

export default startMember;
