import { type MembershipView, rankVms } from '@shallotpick/core';

/** True when this VM is one of the `count` live VMs of its zone that rank first for the duty. */
export function hasZoneDuty(membership: MembershipView, duty: string, count: number): boolean {
  const { id, zone } = membership.self;
  const zoneVms = membership.listLive().filter((vm) => vm.zone === zone);
  const ranking = rankVms(
    `${duty}/${zone}`,
    zoneVms.map((vm) => vm.id),
  );
  return ranking.slice(0, count).includes(id);
}
