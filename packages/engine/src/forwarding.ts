import type {
  Clock,
  ConfigurationProof,
  Millis,
  PermitAnswer,
  PermitRequest,
} from '@shallotpick/core';
import type { GroupAccess } from './access.js';
import type { ServiceConfiguration } from './configuration.js';
import type { ProofAge } from './configurationverifier.js';
import type { VmAddress } from './heartbeat.js';
import type { GroupService } from './group.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { ShutdownSchedule } from './shutdown.js';

/** Whether a VM can serve the work that other VMs pass on to it. */
export interface HomeStatus {
  /** The VM does not reach most of the instances that it serves. */
  readonly isIsolated: boolean;
  readonly isDraining: boolean;
}

/** A configuration that another VM has passed on. */
export interface ReceivedConfiguration {
  readonly configuration: ServiceConfiguration;
  /** When it was the newest, on the clock that includes suspensions; undefined if not proved. */
  readonly provedAt: Millis | undefined;
}

/** What a forwarding service needs to know of its own VM and of the fleet. */
export interface ForwardingHost {
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly shutdown: ShutdownSchedule;
  /** What this VM can prove of the configuration; undefined when it can prove nothing. */
  readonly readProof: () => ProofAge | undefined;
  /** Receives the proofs of other VMs. */
  readonly handleProof: (proof: ConfigurationProof) => void;
  /** Receives the versions by which other VMs have accepted work that they pass on. */
  readonly handleVersion: (version: number) => void;
  /** The configuration in force; undefined before the first one. */
  readonly readConfiguration: () => ServiceConfiguration | undefined;
  /** The service of a group that this VM is a home of. */
  readonly findLocalGroup: (name: string) => GroupService | undefined;
  readonly readStatus: () => HomeStatus;
  /** The homes of a group, those of this VM's zone first; without this VM. */
  readonly findHomes: (group: string) => readonly VmAddress[];
  /** The homes in this VM's zone, to which links are kept open. */
  readonly listNearHomes: () => readonly VmAddress[];
  /** Answers a VM that asks for permits of operations; undefined where none are counted. */
  readonly answerPermits: (vm: string, request: PermitRequest) => PermitAnswer | undefined;
  /** Finds a VM that has registered itself, in the store if it is not known at this host yet. */
  readonly findVm: (vm: string, host: string) => Promise<VmAddress | undefined>;
}

/** Passes work for groups on to their homes, and serves the work that other VMs pass on. */
export abstract class Forwarding {
  /** Accepts links; a VM that can't do so is logged and serves its own callers all the same. */
  abstract start(): Promise<void>;

  abstract stop(): void;

  /** Accesses a group that this VM is no home of. */
  abstract findGroup(name: string): GroupAccess;

  /** False when no home is expected to serve the group for this VM. */
  abstract isReachable(group: string): boolean;

  /** Number of forwarded requests and transactions that this VM holds for others. */
  abstract countLeases(): number;

  /** Asks a VM for permits of operations; undefined when there is no answer. */
  abstract requestPermits(vm: VmAddress, request: PermitRequest): Promise<PermitAnswer | undefined>;

  /**
   * Asks a VM that has proved a later version than the known one for its configuration; undefined
   * when there is none.
   *
   * @throws ConnectionError when it doesn't answer in time.
   */
  abstract requestConfiguration(known: number): Promise<ReceivedConfiguration | undefined>;

  abstract handleTick(): void;
}

/** Creates the forwarding service of a VM. */
export type CreateForwarding = (host: ForwardingHost) => Forwarding;
