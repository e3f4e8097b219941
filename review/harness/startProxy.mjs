/* global setTimeout */
import { connect, createServer } from 'node:net';

/**
 * A TCP proxy before an address. `silence` makes the connections that are open go silent for good, without an end or a
 * reset, while new ones work. `setDelay` holds each piece back; `cut` drops all bytes of all connections until it ends.
 */
const startProxy = async ({ host, target }) => {
  const [targetHost, targetPort] = target.split(':');
  const links = new Set();
  let delayMs = 0;
  let isCut = false;

  const server = createServer({ noDelay: true, allowHalfOpen: true }, (near) => {
    const far = connect({
      host: targetHost,
      port: Number(targetPort),
      noDelay: true,
      allowHalfOpen: true,
    });
    const link = { near, far, isSilent: isCut };
    links.add(link);
    const pass = (from, to) => {
      from.on('data', (chunk) => {
        if (link.isSilent) return;
        if (delayMs === 0) to.write(chunk);
        else setTimeout(() => !link.isSilent && !to.destroyed && to.write(chunk), delayMs);
      });
      from.on('end', () => {
        if (!link.isSilent) to.end();
      });
      from.on('error', () => {
        from.destroy();
        if (!link.isSilent) to.destroy();
      });
      from.on('close', () => {
        if (!link.isSilent) to.destroy();
        if (near.destroyed) links.delete(link);
      });
    };
    pass(near, far);
    pass(far, near);
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    openCount: () => [...links].filter(({ near }) => !near.destroyed).length,
    silence: () => {
      links.forEach((link) => Object.assign(link, { isSilent: true }));
      return links.size;
    },
    setDelay: (ms) => {
      delayMs = ms;
    },
    /** With `true`, nothing passes on any connection, old or new; with `false`, new ones work again. */
    cut: (next) => {
      isCut = next;
      links.forEach((link) => Object.assign(link, { isSilent: true }));
    },
    close: () => {
      links.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
      server.close();
    },
  };
};

export default startProxy;
