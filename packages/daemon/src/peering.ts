import type { Membership } from '@shallotpick/core';
import type { MembershipDriver } from './membership.js';
import type { PeerExchangeService } from './peerexchange.js';
import type { PeerServer } from './peerserver.js';
import type { CertificateFiles } from './tls.js';

export interface PeeringOptions {
  readonly membership: Membership;
  readonly exchangeService: PeerExchangeService;
  readonly driver: MembershipDriver;
  /** None for a daemon that no peer can call. */
  readonly server: PeerServer | undefined;
  readonly host: string;
  readonly port: number;
  readonly files: CertificateFiles | undefined;
}

/** Everything of a daemon that talks with other daemons. */
export class Peering {
  constructor(private readonly options: PeeringOptions) {}

  get exchangeService(): PeerExchangeService {
    return this.options.exchangeService;
  }

  get membership(): Membership {
    return this.options.membership;
  }

  /** Opens the port and begins the regular exchange. */
  async start(): Promise<void> {
    const { server, exchangeService: hub, driver, membership, host, port } = this.options;
    if (server) {
      const peerPort = await server.start(host, port);
      membership.updateSelf({ ...membership.self, peerPort });
    }
    driver.start();
    hub.start();
  }

  /** Tells the peers that this VM goes away. */
  async leave(): Promise<void> {
    await this.options.driver.leave();
  }

  stop(): void {
    const { driver, exchangeService: hub, server, files } = this.options;
    driver.stop();
    hub.stop();
    server?.stop();
    files?.stop();
  }
}
