import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { createSecureContext, type SecureContext } from 'node:tls';
import {
  ChannelCredentials,
  experimental,
  type ServerCredentials,
  ServerCredentials as Credentials,
} from '@grpc/grpc-js';
import { SettingError } from './errors.js';
import type { Log } from './log.js';
import { startReloading } from './reload.js';

/** Paths of PEM files. */
export interface CertificatePaths {
  readonly key: string;
  readonly cert: string;
  readonly ca?: string | undefined;
}

/** Contents of PEM files. */
export interface Certificates {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca?: Buffer | undefined;
}

/** The CA file of the instances, reloaded when it changes. */
export class CaFile {
  private context: SecureContext;

  private current: Buffer;

  /** @throws SettingError when the file cannot be used. */
  constructor(
    private readonly path: string,
    private readonly log: Log,
  ) {
    try {
      this.current = readFileSync(path); // eslint-disable-line n/no-sync
      this.context = createSecureContext({ ca: this.current });
    } catch (cause) {
      throw new SettingError(`invalid CA file ${path}`, { cause });
    }
    startReloading(
      () => this.load(),
      (error) => log.warn('reloading the CA file failed', { error }),
    );
  }

  get secureContext(): SecureContext {
    return this.context;
  }

  async load(): Promise<void> {
    const read = await readFile(this.path);
    if (read.equals(this.current)) return;
    this.context = createSecureContext({ ca: read });
    this.current = read;
    this.log.info('CA file reloaded', { path: this.path });
  }
}

/** Called with reloaded certificates. */
type Listener = (certificates: Certificates) => void;

/** Reads synchronously at start-up, so that an invalid file stops the daemon. */
function loadCertificates({ key, cert, ca }: CertificatePaths): Certificates {
  const read = (path: string): Buffer => readFileSync(path); // eslint-disable-line n/no-sync
  return { key: read(key), cert: read(cert), ca: ca === undefined ? undefined : read(ca) };
}

async function readCertificates(paths: CertificatePaths): Promise<Certificates> {
  const [key, cert, ca] = await Promise.all([
    readFile(paths.key),
    readFile(paths.cert),
    paths.ca === undefined ? undefined : readFile(paths.ca),
  ]);
  return { key, cert, ca };
}

function isEqual(a: Certificates, b: Certificates): boolean {
  const sameCa = a.ca === b.ca || (a.ca !== undefined && b.ca !== undefined && a.ca.equals(b.ca));
  return a.key.equals(b.key) && a.cert.equals(b.cert) && sameCa;
}

/**
 * Key and certificate files, reloaded when they change. Files that do not match, as in the middle
 * of a rotation, are ignored until they do.
 */
export class CertificateFiles {
  private current: Certificates;

  private context: SecureContext;

  private readonly listeners = new Set<Listener>();

  private readonly timer: NodeJS.Timeout;

  /** @throws SettingError when the files cannot be read or do not match. */
  constructor(
    private readonly paths: CertificatePaths,
    private readonly log: Log,
  ) {
    try {
      this.current = loadCertificates(paths);
      this.context = createSecureContext(this.current);
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new SettingError(`invalid TLS files for ${paths.cert}: ${reason}`, { cause });
    }
    this.timer = startReloading(
      () => this.load(),
      (error) => log.error('reloading the TLS files failed', { error }),
    );
  }

  /** The secure context for new connections. */
  get secureContext(): SecureContext {
    return this.context;
  }

  get certificates(): Certificates {
    return this.current;
  }

  /** Reloads the files and applies them if they have changed and are valid. */
  async load(): Promise<void> {
    try {
      const read = await readCertificates(this.paths);
      if (isEqual(read, this.current)) return;
      this.context = createSecureContext(read);
      this.current = read;
      this.log.info('TLS files reloaded', { cert: this.paths.cert });
      this.listeners.forEach((listener) => listener(read));
    } catch (error) {
      this.log.warn('invalid TLS files ignored', { cert: this.paths.cert, error: String(error) });
    }
  }

  addListener(listener: Listener): void {
    this.listeners.add(listener);
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

/**
 * Provides gRPC with certificate files. A new listener is called in a microtask, because grpc-js
 * registers its server only after it has registered the listener.
 */
class FileCertificateProvider implements experimental.CertificateProvider {
  private readonly caListeners = new Set<experimental.CaCertificateUpdateListener>();

  private readonly listeners = new Set<experimental.IdentityCertificateUpdateListener>();

  constructor(private readonly files: CertificateFiles) {
    files.addListener(() => {
      this.caListeners.forEach((listener) => listener(this.toCaUpdate()));
      this.listeners.forEach((listener) => listener(this.toUpdate()));
    });
  }

  addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.add(listener);
    queueMicrotask(() => listener(this.toCaUpdate()));
  }

  removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.delete(listener);
  }

  addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
    this.listeners.add(listener);
    queueMicrotask(() => listener(this.toUpdate()));
  }

  removeIdentityCertificateListener(
    listener: experimental.IdentityCertificateUpdateListener,
  ): void {
    this.listeners.delete(listener);
  }

  private toCaUpdate(): experimental.CaCertificateUpdate | null {
    const { ca } = this.files.certificates;
    return ca ? { caCertificate: ca } : null;
  }

  private toUpdate(): experimental.IdentityCertificateUpdate {
    const { key, cert } = this.files.certificates;
    return { certificate: cert, privateKey: key };
  }
}

/** gRPC credentials for the server and the client side. */
export interface GrpcCredentials {
  readonly server: ServerCredentials;
  readonly channel: ChannelCredentials;
}

/**
 * Creates mutual TLS credentials from files that include a CA, or cleartext credentials without
 * files. The server rejects a client whose certificate was not signed by the CA.
 */
export function createGrpcCredentials(files: CertificateFiles | undefined): GrpcCredentials {
  if (!files) {
    return { server: Credentials.createInsecure(), channel: ChannelCredentials.createInsecure() };
  }
  // The same provider is passed twice, because the order of these arguments differs between the
  // type declaration and the implementation of grpc-js.
  const provider = new FileCertificateProvider(files);
  return {
    server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
    channel: experimental.createCertificateProviderChannelCredentials(provider, provider, {}),
  };
}
