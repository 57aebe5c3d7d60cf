import {
  type GroupService,
  type HomeStatus,
  type InstanceConnection,
  type Lease,
  NotRunError,
  type ServiceConfiguration,
  SystemClock,
  type VmAddress,
  type WorkRequest,
} from '@shallotpick/engine';
import type { LinkForwarding } from '../src/index.js';
import { createForwarding, findFreePort } from './fleet.js';

const TICK_MS = 25;
export const HOST = '127.0.0.1';

/** Creates the lease of a connection to a fake instance. */
export function createFakeLease(
  connection: InstanceConnection,
  overrides: Partial<Lease> = {},
): Lease {
  return {
    ...{ instance: 'i', connection, isLeader: true, after: undefined, latencyMs: 1 },
    updateBusy: () => undefined,
    release: () => undefined,
    recordLatency: () => undefined,
    handleReply: () => undefined,
    handleLoss: () => undefined,
    handleDemotion: () => undefined,
    confirmCommit: async () => undefined,
    ...overrides,
  };
}

/** The service of a group at a home, which a test moves away and back. */
export class FakeGroup {
  readonly name = 'g';

  private readonly waiting = new Set<(error: Error) => void>();

  private isStopped = false;

  constructor(private readonly grant: (request: WorkRequest) => Promise<Lease>) {}

  async admit(request: WorkRequest): Promise<Lease> {
    if (this.isStopped) throw new NotRunError('the proxy stops');
    return new Promise((resolve, reject) => {
      this.waiting.add(reject);
      this.grant(request)
        .then((lease) => {
          // Work that has been refused meanwhile needs none.
          if (this.waiting.delete(reject)) resolve(lease);
          else lease.release();
        })
        .catch(reject);
    });
  }

  /** Refuses the work that waits. */
  stop(): void {
    this.isStopped = true;
    this.waiting.forEach((reject) => reject(new NotRunError('the proxy stops')));
    this.waiting.clear();
  }
}

/** A home on loopback, with one fake group. */
export class FakeHome {
  status: HomeStatus = { isIsolated: false, isDraining: false };

  group: FakeGroup | undefined;

  readonly forwarding: LinkForwarding;

  readonly errors: readonly string[];

  /** The configuration in force, which it has proved. */
  configuration: ServiceConfiguration | undefined;

  /** Versions of the configuration by which the work was accepted elsewhere. */
  readonly versions: number[] = [];

  private readonly ticks: NodeJS.Timeout;

  constructor(readonly address: VmAddress & { readonly port: number }) {
    const created = createForwarding(address.port, [], {
      findVm: async (id) => ({ id, zone: 'z', host: HOST, port: undefined }),
      findLocalGroup: () => this.group as unknown as GroupService | undefined,
      readStatus: () => this.status,
      readConfiguration: () => this.configuration,
      readProof: () => this.configuration && { version: this.configuration.version, ageMs: 700 },
      handleVersion: (version) => this.versions.push(version),
    });
    this.forwarding = created.forwarding;
    this.errors = created.errors;
    this.ticks = setInterval(() => this.forwarding.handleTick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.ticks);
    this.forwarding.stop();
    this.group?.stop();
  }
}

/** Starts a home that has no group yet. */
export async function startHome(id: string): Promise<FakeHome> {
  const home = new FakeHome({ id, zone: 'z', host: HOST, port: await findFreePort() });
  await home.forwarding.start();
  return home;
}

/** A VM on loopback that passes work on. */
export class FakeEntry {
  readonly forwarding: LinkForwarding;

  private readonly ticks: NodeJS.Timeout;

  constructor(homes: readonly VmAddress[]) {
    this.forwarding = createForwarding(0, homes).forwarding;
    this.forwarding.handleTick();
    this.ticks = setInterval(() => this.forwarding.handleTick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.ticks);
    this.forwarding.stop();
  }
}

/** Creates a request whose deadline is `waitMs` from now. */
export function createRequest(waitMs: number, overrides: Partial<WorkRequest> = {}): WorkRequest {
  const deadline = new SystemClock().readNow() + waitMs;
  return {
    ...{ requestId: 'r', kind: 'write', caller: 'c', organisation: undefined, database: 'd' },
    contract: { name: 'p', match: {}, maxAgeMs: 0, length: 'short', repeat: 'allowed' },
    ...{ objective: deadline, deadline, priority: 0, lastCommit: undefined, excluded: new Set() },
    ...overrides,
  };
}
