import type { Membership } from '@shallotpick/core';
import type { MembershipDriver } from './membership.js';
import type { PeerHub } from './peers.js';
import type { PeerServer } from './peerserver.js';
import type { CertificateFiles } from './tls.js';

export interface PeeringOptions {
  readonly membership: Membership;
  readonly hub: PeerHub;
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

  get hub(): PeerHub {
    return this.options.hub;
  }

  get membership(): Membership {
    return this.options.membership;
  }

  /** Opens the port and begins the regular exchange. */
  async start(): Promise<void> {
    const { server, hub, driver, membership, host, port } = this.options;
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
    const { driver, hub, server, files } = this.options;
    driver.stop();
    hub.stop();
    server?.stop();
    files?.stop();
  }
}
