import type { EmulatedPlatform } from '@shallotpick/emulator';
import { match, P } from 'ts-pattern';
import { CHANGE_KINDS, injectChangeFault, MOVE_KINDS } from './changefaults.js';
import type { SoakFault } from './faultschedule.js';
import { GROUP_KINDS, injectGroupFault } from './groupfaults.js';
import { injectKeyFault, KEY_KINDS } from './keyfaults.js';
import type { SoakOperator } from './operator.js';
import type { SoakOrganisations } from './organisations.js';
import { injectOutageFault, OUTAGE_KINDS } from './outagefaults.js';
import { injectPartitionFault, PARTITION_KINDS } from './partitionfaults.js';
import { injectRestartFault, RESTART_KINDS } from './restartfaults.js';
import { injectStoreFault, STORE_KINDS } from './storefaults.js';
import type { SoakVm } from './vm.js';
import { injectVmFault, VM_KINDS } from './vmfaults.js';

/** Injects faults into VMs, their network connections and the platform. */
export class FaultInjector {
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly platform: EmulatedPlatform,
    private readonly vms: readonly SoakVm[],
    private readonly organisations: SoakOrganisations,
    private readonly operator: SoakOperator,
  ) {}

  /** Starts a fault; the promise is settled when it has ended. */
  async start(fault: SoakFault): Promise<void> {
    const done = this.run(fault).finally(() => this.pending.delete(done));
    this.pending.add(done);
    await done;
  }

  /** Waits until every fault has ended. */
  async waitForCompletion(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  private async run({ kind, durationMs, targetSeed }: SoakFault): Promise<void> {
    const { platform, vms, operator } = this;
    const vm = vms[targetSeed % vms.length]!;
    const group = platform.groups[targetSeed % platform.groups.length]!;
    const details = { durationMs, targetSeed };
    await match(kind)
      .with(P.union(...VM_KINDS), (one) => injectVmFault(one, vms, vm, durationMs))
      .with(P.union(...STORE_KINDS), (one) => injectStoreFault(one, platform, group, details))
      .with(P.union(...KEY_KINDS), () => injectKeyFault(this.organisations, details))
      .with(P.union(...CHANGE_KINDS, ...MOVE_KINDS), (one) =>
        injectChangeFault(one, { operator, vms, vm, ...details }),
      )
      .with(P.union(...GROUP_KINDS), (one) => injectGroupFault(one, platform, group, details))
      .with(P.union(...RESTART_KINDS), (one) => injectRestartFault(one, platform, group, details))
      .with(P.union(...PARTITION_KINDS), (one) =>
        injectPartitionFault(one, { platform, vms, group, ...details }, vm),
      )
      .with(P.union(...OUTAGE_KINDS), (one) =>
        injectOutageFault(one, { platform, vms, group, ...details }),
      )
      .exhaustive();
  }
}
