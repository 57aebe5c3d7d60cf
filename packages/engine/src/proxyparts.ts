import type { Millis, QuotaRule, RegisteredInstance } from '@shallotpick/core';
import type { ServiceConfiguration } from './configuration.js';
import type { InstanceConnector } from './connection.js';
import type { CreateForwarding } from './forwarding.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { OddEntryReporter } from './oddentries.js';
import type { ObjectStore, PromotionService, StoredObject } from './store.js';

/** Settings, services and decoders that a protocol adapter supplies. */
export interface ProxyParts {
  readonly vm: string;
  readonly zone: string;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly oddEntries: OddEntryReporter;
  readonly store: ObjectStore;
  readonly promotions: PromotionService;
  readonly connector: InstanceConnector;
  /** Where this VM accepts the links of other VMs; absent when it serves every group itself. */
  readonly link?: { readonly host: string; readonly port: number };
  readonly createForwarding?: CreateForwarding;
  /** True when all VMs start together; a VM then waits for the others before it connects. */
  readonly isFirstStart?: boolean;
  /** How long a leaving instance may still receive work. */
  readonly drainMs: Millis;
  /** Time after a disturbance in which no time bound applies, so a lost watch may last as long. */
  readonly stableWindowMs: Millis;
  /** Time limit for a new configuration to be in force on every VM. */
  readonly configurationApplyMs: Millis;
  /** How much work this VM can do, in cores. */
  readonly power?: number | undefined;
  /** Time limit for a revoked key to be refused, also by VMs that can't reach the store. */
  readonly revocationMs?: Millis | undefined;
  /** Bytes a second of reads that may leave the zone; 0 keeps them there while an instance can serve them. */
  readonly zoneBytesPerSecond?: number | undefined;
  /** How strictly rate limits hold over the fleet; absent when they are not counted. */
  readonly quotaRule?: QuotaRule | undefined;
  /** Store kind of the operator's configuration. */
  readonly configurationKind: string;
  /** Name of the object of that kind which holds it. */
  readonly configurationName: string;
  /** Store kind of the objects by which instances register. */
  readonly instancesKind: string;
  /** Decodes a configuration; undefined when the object isn't a usable one. */
  readonly decodeConfiguration: (object: StoredObject) => ServiceConfiguration | undefined;
  /** Decodes a registered instance; undefined when the object isn't a usable one. */
  readonly decodeInstance: (object: StoredObject) => RegisteredInstance | undefined;
}
