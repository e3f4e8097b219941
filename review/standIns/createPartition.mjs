import { EventEmitter } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

const HOST = '127.0.0.1';

/**
 * A network partition between two sides. What crosses it runs through proxies, which hold all bytes and all new
 * connections while the partition lasts, and reset what they held when it ends.
 */
const createPartition = ({ sideOfZone, record }) => {
  const events = new EventEmitter();
  let isCut = false;

  /** Forwards both ways; `isCrossing` tells whether the two ends are on different sides. */
  const join = (client, upstream, isCrossing) => {
    let isHeld = isCrossing && isCut;
    const sockets = [client, upstream];
    const end = () => sockets.forEach((socket) => socket.destroy());
    const onCut = () => {
      isHeld = true;
      sockets.forEach((socket) => socket.pause());
    };
    const onHeal = () => {
      if (isHeld) sockets.forEach((socket) => socket.resetAndDestroy());
    };
    if (isCrossing) {
      events.on('cut', onCut);
      events.on('heal', onHeal);
    }
    sockets.forEach((socket, index) => {
      socket.on('data', (chunk) => sockets[1 - index].write(chunk));
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (isHeld && isCut) return;
        events.off('cut', onCut);
        events.off('heal', onHeal);
        end();
      });
      if (isHeld) socket.pause();
    });
  };
  const listen = (server) =>
    new Promise((resolve) => {
      server.listen(0, HOST, () => resolve(server.address().port));
    });
  events.setMaxListeners(0);

  return {
    sideOfZone,
    areJoined: (zone, other) => !isCut || sideOfZone(zone) === sideOfZone(other),
    /** Starts a proxy to an address on the other side; resolves with its own address. */
    startProxy: async (port) => {
      const server = createServer({ noDelay: true }, (client) => {
        join(client, connect({ host: HOST, port, noDelay: true }), true);
      });
      return `${HOST}:${await listen(server)}`;
    },
    /** Starts an HTTP proxy (`CONNECT`) for a VM; `findZone` returns the zone of a port. */
    startTunnel: async (zone, findZone) => {
      const server = createHttpServer();
      server.on('connect', (request, client, head) => {
        const port = Number(request.url.split(':').at(-1));
        const isCrossing = sideOfZone(findZone(port)) !== sideOfZone(zone);
        const upstream = connect({ host: HOST, port, noDelay: true });
        if (isCrossing && isCut) {
          join(client, upstream, true);
          return;
        }
        upstream.once('error', () => client.destroy());
        upstream.once('connect', () => {
          client.write('HTTP/1.1 200 OK\r\n\r\n');
          if (head.length > 0) upstream.write(head);
          join(client, upstream, isCrossing);
        });
      });
      return `http://${HOST}:${await listen(server)}`;
    },
    cut: () => {
      record('partition.cut');
      isCut = true;
      events.emit('cut');
    },
    heal: () => {
      record('partition.healed');
      isCut = false;
      events.emit('heal');
    },
  };
};

export default createPartition;
