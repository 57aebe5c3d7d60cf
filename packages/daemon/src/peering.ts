import type { PeerHub } from './peers.js';
import type { PeerServer } from './peerserver.js';
import type { CertificateFiles } from './tls.js';

export interface PeeringOptions {
  readonly hub: PeerHub;
  readonly server: PeerServer;
  readonly host: string;
  readonly port: number;
  readonly files: CertificateFiles | undefined;
}

/** Everything of a daemon that talks with other daemons. */
export class Peering {
  private bound = 0;

  constructor(private readonly options: PeeringOptions) {}

  /** The port that peers call; known after `start`. */
  get port(): number {
    return this.bound;
  }

  get hub(): PeerHub {
    return this.options.hub;
  }

  /** Opens the port and begins the regular exchange. */
  async start(): Promise<void> {
    const { server, hub, host, port } = this.options;
    this.bound = await server.start(host, port);
    hub.start();
  }

  stop(): void {
    this.options.hub.stop();
    this.options.server.stop();
    this.options.files?.stop();
  }
}
