import {
  type Clock,
  comparePositions,
  type Contract,
  DEFAULT_CONTRACT,
  findPrimary,
  type GroupView,
  type InstanceStatus,
  type LogPosition,
} from '@shallotpick/core';
import {
  createOperatorImplementation,
  OPERATOR_SERVICE,
  type OperatorHandlers,
} from '@shallotpick/wire';
import { Server, status as grpcStatus } from '@grpc/grpc-js';
import type { Daemon } from './daemon.js';
import { DaemonError, SettingError } from './errors.js';
import { explainRoute } from './explain.js';
import type { Log } from './log.js';
import type { Settings } from './settings.js';
import { CertificateFiles, createGrpcCredentials } from './tls.js';

const LOOPBACK = /^(127\.\d+\.\d+\.\d+|::1|localhost)$/;

/** An operator's request is invalid; `code` is the gRPC status. */
const RequestError = DaemonError.subclass('RequestError', {
  custom: class extends DaemonError {
    code: number = grpcStatus.INVALID_ARGUMENT;
  },
});

/** Options of {@link OperatorServer}. */
export interface OperatorServerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
}

/** Loads the files for mutual TLS; without them only a loopback address is allowed. */
function loadFiles(settings: Settings, log: Log): CertificateFiles | undefined {
  const { tlsOperatorCa: ca, tlsOperatorCert: cert, tlsOperatorKey: key, host } = settings;
  if (key && cert) return new CertificateFiles({ key, cert, ca }, log);
  if (LOOPBACK.test(host)) return undefined;
  throw new SettingError(
    `--host (SHALLOTPICK_HOST) is "${host}": the operator port on it needs --tls-operator-key, --tls-operator-cert and --tls-operator-ca; allowed without them: a loopback address`,
  );
}

/** Lag in offsets; undefined across terms, whose offsets are not comparable. */
function computeLag(status: InstanceStatus, newest: LogPosition): number | undefined {
  if (status.applied.term !== newest.term) return undefined;
  return Math.max(0, newest.offset - status.applied.offset);
}

/** The gRPC service for operators: status, explanation of routes, and drain. */
export class OperatorServer implements OperatorHandlers {
  private readonly server = new Server();

  private daemon: Daemon | undefined;

  private boundPort = 0;

  private files: CertificateFiles | undefined;

  constructor(private readonly options: OperatorServerOptions) {}

  /** The bound port; 0 before the start or when the service is disabled. */
  get port(): number {
    return this.boundPort;
  }

  /** @throws SettingError when the address needs TLS and no key files are set. */
  async start(daemon: Daemon): Promise<void> {
    const { settings, log } = this.options;
    if (settings.operatorPort === undefined) return;
    this.daemon = daemon;
    this.server.addService(OPERATOR_SERVICE, createOperatorImplementation(this));
    const address = `${settings.host}:${settings.operatorPort}`;
    this.files = loadFiles(settings, log);
    const credentials = createGrpcCredentials(this.files).server;
    this.boundPort = await new Promise((resolve, reject) => {
      this.server.bindAsync(address, credentials, (error, port) => {
        if (error) reject(new DaemonError(`cannot listen on ${address}`, { cause: error }));
        else resolve(port);
      });
    });
    log.info('operator service started', { port: this.boundPort });
  }

  /** Shuts down gracefully, so that the drain call in progress can finish. */
  stop(): void {
    this.files?.stop();
    this.server.tryShutdown(() => undefined);
  }

  readStatus(): ReturnType<OperatorHandlers['readStatus']> {
    const daemon = this.requireDaemon();
    const { vm, zone } = this.options.settings;
    return {
      vm,
      zone,
      noteNumber: daemon.readConfiguration().number,
      ready: daemon.isReady(),
      draining: daemon.isDraining(),
      callers: daemon.countCallers(),
      groups: daemon.listGroups().map((group) => this.formatGroup(group.readView())),
    };
  }

  explain(
    request: Parameters<OperatorHandlers['explain']>[0],
  ): ReturnType<OperatorHandlers['explain']> {
    const { settings, clock } = this.options;
    const daemon = this.requireDaemon();
    const group = daemon.listGroups().find(({ name }) => name === request.group);
    const names = daemon.listGroups().map(({ name }) => name);
    if (!group) this.refuse(`group "${request.group}" is not known; allowed: ${names.join(', ')}`);
    const contract = this.findContract(request.contract);
    const { kind } = request;
    if (kind !== 'read' && kind !== 'write') this.refuse('kind: allowed: read, write');
    const view = group.readView();
    const { route, candidates } = explainRoute(
      view,
      contract,
      kind,
      settings.zone,
      clock.readNow(),
    );
    return {
      vm: settings.vm,
      contract: contract.name,
      maxAgeMs: contract.maxAgeMs,
      length: contract.length,
      repeat: contract.repeat,
      instances: route.kind === 'instances' ? [...route.instances] : [],
      reason: route.reason,
      candidates: [...candidates],
    };
  }

  drain({ vm }: Parameters<OperatorHandlers['drain']>[0]): { callers: number } {
    const { settings, log } = this.options;
    const daemon = this.requireDaemon();
    if (vm !== settings.vm) this.refuse(`this daemon is ${settings.vm}, not ${vm}`);
    const callers = daemon.countCallers();
    if (!daemon.isDraining()) {
      log.info('drain requested by an operator', { callers });
      daemon.drain().catch((error: unknown) => {
        log.error('drain failed', { error: String(error) });
      });
    }
    return { callers };
  }

  private refuse(message: string): never {
    throw new RequestError(message);
  }

  private requireDaemon(): Daemon {
    if (!this.daemon) throw new DaemonError('the operator service is not started');
    return this.daemon;
  }

  private findContract(name: string): Contract {
    const { contracts } = this.requireDaemon().readConfiguration();
    const all = [DEFAULT_CONTRACT, ...contracts];
    const found = all.find((contract) => contract.name === name);
    const names = all.map((contract) => contract.name).join(', ');
    return (
      found ?? this.refuse(`contract "${name}" is not in the note in force; allowed: ${names}`)
    );
  }

  private formatGroup(view: GroupView): {
    name: string;
    term: number;
    phase: string;
    primary: string;
    instances: ReturnType<OperatorServer['formatInstance']>[];
  } {
    const { group, record } = view;
    return {
      name: group.name,
      term: record?.term ?? 0,
      phase: record?.phase ?? '',
      primary: findPrimary(view) ?? '',
      instances: group.instances.map(({ id }) => this.formatInstance(view, id)),
    };
  }

  private formatInstance(view: GroupView, id: string) {
    const instance = view.group.instances.find((candidate) => candidate.id === id);
    const status = view.statuses.get(id);
    const newest = [...view.statuses.values()]
      .map(({ durable }) => durable)
      .sort(comparePositions)
      .at(-1);
    return {
      id,
      zone: instance?.zone ?? '',
      role: status?.role ?? '',
      leaving: instance?.leaving ?? false,
      lagOffsets: status && newest ? computeLag(status, newest) : undefined,
      ageMs: view.findAge(id, this.options.clock.readNow()),
      connections: status?.connections ?? 0,
      connectionLimit: instance?.connectionLimit ?? 0,
      running: status?.running ?? 0,
      slots: instance?.slots ?? 0,
    };
  }
}
