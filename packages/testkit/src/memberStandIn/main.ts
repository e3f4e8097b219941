import { createServer as createHttpServer } from 'node:http';
import { createServer, type Socket } from 'node:net';
import createMember from './createMember';
import memberSettingsSchema from './memberSettingsSchema';
import serveMemberConnection from './serveMemberConnection';

/** Entry point of a stand-in member process; settings come as JSON in the first argument. */
const settings = memberSettingsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const member = createMember(settings);
const sockets = new Set<Socket>();
let refusedConnections = 0;
let mostConnections = 0;

const accept = (socket: Socket): void => {
  if (sockets.size >= settings.connectionLimit) {
    refusedConnections += 1;
    socket.destroy();
    return;
  }
  sockets.add(socket);
  mostConnections = Math.max(mostConnections, sockets.size);
  socket.on('close', () => sockets.delete(socket));
  socket.on('error', () => socket.destroy());
  setTimeout(() => serveMemberConnection(socket, member), settings.connectDelayMs);
};

const describeTable = (table: string, column: string): Record<string, string | null> =>
  Object.fromEntries(
    member.log
      .after(0)
      .flatMap(({ changes }) =>
        changes
          .filter((change) => change.table === table)
          .map(({ key, row }) => [key, row[column] ?? null]),
      ),
  );

const describeState = (): string =>
  JSON.stringify({
    ...member.status(),
    connections: sockets.size,
    mostConnections,
    refusedConnections,
    items: describeTable('items', 'value'),
    requests: describeTable('auburngrade_request', 'state'),
  });

createHttpServer((request, response) => {
  const url = new URL(request.url ?? '/', 'http://localhost');
  url.searchParams.forEach((value, name) => {
    Object.assign(member.tuning, { [name]: Number(value) });
  });
  response.end(describeState());
}).listen(settings.controlPort, settings.host);

createServer({ pauseOnConnect: false }, accept).listen(settings.port, settings.host, () => {
  process.stdout.write('ready\n');
});
process.on('SIGTERM', () => process.exit(0));
