import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { encodeJson } from './rawjson.js';

const STATUS_UNAVAILABLE = 503;
const STATUS_ERROR = 500;

/** The status and JSON body of a response. */
export interface HttpResult {
  readonly status: number;
  readonly body?: unknown;
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** A request with its parsed JSON body. */
export interface HttpRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage['headers'];
  readonly body: unknown;
}

/** Handles a request; undefined closes the connection without a response. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResult | undefined>;

/** An HTTP service on a loopback port; responds 503 to everything while `isDown` is set. */
export class HttpService {
  isDown = false;

  port = 0;

  /** Number of requests received. */
  calls = 0;

  private readonly server: Server;

  /**
   * @param readHeaders supplies headers for all responses
   */
  constructor(
    private readonly handler: HttpHandler,
    private readonly readHeaders: () => Readonly<Record<string, string>> = () => ({}),
  ) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => {
        if (!response.headersSent) response.writeHead(STATUS_ERROR);
        response.end();
      });
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    if (address && typeof address === 'object') this.port = address.port;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1;
    const body = await readBody(request);
    const url = new URL(request.url ?? '/', 'http://127.0.0.1');
    const { method = 'GET', headers } = request;
    const result = this.isDown
      ? { status: STATUS_UNAVAILABLE }
      : await this.handler({ method, url, headers, body });
    if (!result) {
      request.socket.destroy();
      return;
    }
    const text = result.body === undefined ? '' : encodeJson(result.body);
    const responseHeaders = { 'content-type': 'application/json', ...this.readHeaders() };
    response.writeHead(result.status, responseHeaders).end(text);
  }
}
