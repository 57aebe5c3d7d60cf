import type { Membership } from '@shallotpick/core';
import type { MembershipDriver } from './membership.js';
import type { PeerExchangeService } from './peerexchange.js';
import type { PeerServer } from './peerserver.js';
import type { CertificateFiles } from './tls.js';

/** Options of {@link Peering}. */
export interface PeeringOptions {
  readonly membership: Membership;
  readonly exchangeService: PeerExchangeService;
  readonly driver: MembershipDriver;
  /** Undefined when no peer port is configured. */
  readonly server: PeerServer | undefined;
  readonly host: string;
  readonly port: number;
  readonly files: CertificateFiles | undefined;
}

/** Groups the services for communication with other daemons. */
export class Peering {
  constructor(private readonly options: PeeringOptions) {}

  get exchangeService(): PeerExchangeService {
    return this.options.exchangeService;
  }

  get membership(): Membership {
    return this.options.membership;
  }

  /** Opens the peer port and starts the periodic exchange. */
  async start(): Promise<void> {
    const { server, exchangeService, driver, membership, host, port } = this.options;
    if (server) {
      const peerPort = await server.start(host, port);
      membership.updateSelf({ ...membership.self, peerPort });
    }
    driver.start();
    exchangeService.start();
  }

  /** Announces to the peers that this VM is leaving. */
  async leave(): Promise<void> {
    await this.options.driver.leave();
  }

  stop(): void {
    const { driver, exchangeService, server, files } = this.options;
    driver.stop();
    exchangeService.stop();
    server?.stop();
    files?.stop();
  }
}
