import { createServer, type Server } from 'node:http';
import type { Registry } from 'prom-client';

/** Serves `/metrics` (Prometheus text), `/metrics.json` (the same as JSON) and `/health` (200 while ready, 503 otherwise). */
const startHttpServer = (
  host: string,
  port: number,
  registry: Registry,
  isReady: () => boolean,
): Server => {
  const server = createServer((request, response) => {
    if (request.url === '/metrics') {
      registry.metrics().then((text) => {
        response.setHeader('content-type', registry.contentType);
        response.end(text);
      });
      return;
    }
    if (request.url === '/metrics.json') {
      registry.getMetricsAsJSON().then((metrics) => {
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(metrics));
      });
      return;
    }
    response.statusCode = isReady() ? 200 : 503;
    response.end(JSON.stringify({ isReady: isReady() }));
  });
  return server.listen(port, host);
};

export default startHttpServer;
