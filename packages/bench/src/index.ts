export { createCluster } from './cluster.js';
export type { Cluster, ClusterOptions } from './cluster.js';
export { createFirstNote, createGroupOptions, PROFILES } from './profile.js';
export type { Profile, ProfileName } from './profile.js';
export { findFreePorts } from './ports.js';
export { createRandom } from './random.js';
export type { Random } from './random.js';
export { measureFailover } from './failover.js';
export type { FailoverResult } from './failover.js';
