import type { Millis, PermitAnswer, PermitRequest, RegisteredInstance } from '@shallotpick/core';
import {
  ConnectionError,
  createEngineLog,
  createProxy,
  Forwarding,
  type ForwardingHost,
  GroupAccess,
  type InstanceConnection,
  type Lease,
  Metrics,
  NotRunError,
  OddEntryReporter,
  type ReceivedConfiguration,
  type ServiceConfiguration,
  type StoredObject,
  SystemClock,
  type VmAddress,
  wait,
  type WorkRequest,
} from '../src/index.js';
import { FakeConnector, type FakeInstance } from './fake.js';
import { applyMode, type CallMode, DELAY_MS, NEVER_MS, SlowStore } from './slowstore.js';
import { FakePromotions } from './store.js';

const LINK_PORT = 1;
/** Longest work of a statement at a sound instance; enough for work to queue. */
const WORK_MS: Millis = 40;
const LOG = createEngineLog('error', 'test');

/** A proxy with its watchers. */
export type RunningProxy = ReturnType<typeof createProxy>;

/** Opens connections to fake instances, late or never. */
class SlowConnector extends FakeConnector {
  constructor(
    instances: ReadonlyMap<string, FakeInstance>,
    private readonly readMode: (instance: string) => CallMode,
  ) {
    super(instances);
  }

  override async open(
    instance: RegisteredInstance,
    timeoutMs: Millis,
  ): Promise<InstanceConnection> {
    const mode = this.readMode(instance.id);
    if (mode === 'fail') throw new ConnectionError('refused');
    if (mode !== 'answer') await wait(timeoutMs * Math.random());
    if (mode === 'hang') throw new ConnectionError('no answer in time');
    return super.open(instance);
  }
}

/** Access to a group through a home in the same process. */
class DirectAccess extends GroupAccess {
  constructor(private readonly findGroup: () => GroupAccess | undefined) {
    super();
  }

  override async admit(request: WorkRequest): Promise<Lease> {
    await wait(1);
    const group = this.findGroup();
    if (!group) throw new NotRunError('no home serves the group');
    return group.admit(request);
  }
}

/** Passes calls on to other VMs of the same process. */
class DirectForwarding extends Forwarding {
  constructor(
    readonly host: ForwardingHost,
    private readonly links: ReadonlyMap<string, DirectForwarding>,
    private readonly readMode: () => CallMode,
  ) {
    super();
  }

  override async start(): Promise<void> {
    await wait(1);
  }

  override stop(): void {
    // Nothing is kept open.
  }

  override findGroup(name: string): GroupAccess {
    return new DirectAccess(() => this.findHome(name));
  }

  override isReachable(group: string): boolean {
    return this.findHome(group) !== undefined;
  }

  override countLeases(): number {
    return 0;
  }

  override async requestPermits(
    { id }: VmAddress,
    request: PermitRequest,
  ): Promise<PermitAnswer | undefined> {
    await wait(1);
    await applyMode(this.readMode(), () => new Error('the link is cut'));
    const answer = this.links.get(id)?.host.answerPermits(this.host.vm, request);
    await wait(1);
    return answer;
  }

  override async requestConfiguration(known: number): Promise<ReceivedConfiguration | undefined> {
    await wait(1);
    await applyMode(this.readMode(), () => new ConnectionError('the link is cut'));
    const found = [...this.links.values()].map(({ host }) => host.readConfiguration());
    const configuration = found.find((one) => one && one.version > known);
    return configuration && { configuration, provedAt: undefined };
  }

  override handleTick(): void {
    this.links.forEach(({ host }) => {
      const proof = host.vm === this.host.vm ? undefined : host.readProof();
      if (!proof) return;
      const { version, ageMs } = proof;
      this.host.handleProof({ version, provedAt: this.host.ageClock.readNow() - ageMs });
    });
  }

  private findHome(name: string): GroupAccess | undefined {
    return this.host
      .findHomes(name)
      .flatMap(({ id }) => this.links.get(id)?.host.findLocalGroup(name) ?? [])
      .at(0);
  }
}

/** Proxies of several VMs in one process, with a store and instances that can fail. */
export class VirtualFleet {
  readonly store = new SlowStore();

  linkMode: CallMode = 'answer';

  private readonly links = new Map<string, DirectForwarding>();

  private readonly connectModes = new Map<string, CallMode>();

  private readonly connector: SlowConnector;

  constructor(private readonly instances: ReadonlyMap<string, FakeInstance>) {
    this.connector = new SlowConnector(
      instances,
      (instance) => this.connectModes.get(instance) ?? 'answer',
    );
  }

  /** Sets how an instance takes connections and answers on them. */
  updateInstance(id: string, mode: CallMode): void {
    const instance = this.instances.get(id);
    if (!instance) return;
    this.connectModes.set(id, mode);
    instance.isDown = mode === 'fail';
    const delays = { answer: WORK_MS, delay: DELAY_MS, fail: 1, hang: NEVER_MS };
    // A busy instance still answers probes soon, so that it stays in use.
    instance.readDelayMs = (command) => {
      const isBegin = command.operation.kind === 'begin';
      const isProbe = command.id === undefined && (!isBegin || Math.random() < 0.5);
      return isProbe && mode !== 'hang' ? 1 : Math.max(1, Math.random() * delays[mode]);
    };
    if (mode === 'fail') instance.breakConnections();
  }

  /** Creates the proxy of a VM; a former one of the same name is no longer reached. */
  create(vm: string, zone: string): RunningProxy {
    const metrics = new Metrics();
    const promotions = new FakePromotions();
    // The record of a group is settled, which proves commits that one replica lacks.
    promotions.answer = 'accepted';
    return createProxy({
      ...{ vm, zone, drainMs: 7_000, stableWindowMs: 4_000, configurationApplyMs: 3_000 },
      ...{ store: this.store, promotions, connector: this.connector },
      ...{ log: LOG, metrics, revocationMs: 3_000 },
      quotaRule: { windowMs: 2_000, excess: 0.25, slack: 20 },
      oddEntries: new OddEntryReporter({ clock: new SystemClock(), log: LOG, metrics }),
      link: { host: vm, port: LINK_PORT },
      createForwarding: (host) => this.link(host),
      configurationKind: 'configurations',
      configurationName: 'main',
      instancesKind: 'instances',
      decodeConfiguration: ({ spec }: StoredObject) => spec as ServiceConfiguration,
      decodeInstance: ({ spec }: StoredObject) => spec as RegisteredInstance,
    });
  }

  private link(host: ForwardingHost): Forwarding {
    const forwarding = new DirectForwarding(host, this.links, () => this.linkMode);
    this.links.set(host.vm, forwarding);
    return forwarding;
  }
}
