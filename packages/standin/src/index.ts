export { createCertificateAuthority } from './certificateauthority.js';
export type { CertificateAuthority, IssuedCertificateFiles } from './certificateauthority.js';
export { StandinGroup } from './group.js';
export type { StandinGroupOptions } from './group.js';
export { StandinInstance } from './instance.js';
export type { StandinInstanceOptions } from './instance.js';
export { StandinPlatform } from './platform.js';
export type { PlatformFaults } from './platform.js';
export { UndoLog } from './undolog.js';
