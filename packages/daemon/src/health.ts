import { createServer, type Server } from 'node:http';
import type { Metrics } from './metrics.js';

/** Creates the HTTP server for `/metrics`, `/healthz` and the load balancer's `/readyz`. */
export function createHealthServer(metrics: Metrics, isReady: () => boolean): Server {
  return createServer((request, response) => {
    if (request.url === '/metrics') {
      metrics.registry
        .metrics()
        .then((text) => response.end(text))
        .catch(() => response.destroy());
      return;
    }
    if (request.url === '/healthz') {
      response.end('ok\n');
      return;
    }
    const status = request.url !== '/readyz' ? 404 : (isReady() && 200) || 503;
    response.writeHead(status).end();
  });
}
