export { createAuthority } from './authority.js';
export type { Authority, IssuedFiles } from './authority.js';
export { StandinGroup } from './group.js';
export type { GroupOptions } from './group.js';
export { StandinInstance } from './instance.js';
export type { InstanceOptions } from './instance.js';
export { StandinPlatform } from './platform.js';
export type { PlatformFaults } from './platform.js';
