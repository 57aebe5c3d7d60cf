import { readFile } from 'node:fs/promises';
import { credentials, type ChannelCredentials } from '@grpc/grpc-js';
import { Command, Flags, type Interfaces } from '@oclif/core';
import { CoreError, type Platform } from '@shallotpick/core';
import { HttpPlatform } from '@shallotpick/daemon/platform';
import { OperatorClient, type StatusResponse } from '@shallotpick/wire';
import { CommandError } from './errors.js';

/** The status of one daemon, or the error of the call. */
export interface DaemonStatus {
  readonly address: string;
  readonly status?: StatusResponse;
  readonly error?: string;
}

const SHARED_FLAGS = {
  'platform-url': Flags.string({
    env: 'SHALLOTPICK_PLATFORM_URL',
    description: 'URL of the platform',
  }),
  daemons: Flags.string({
    env: 'SHALLOTPICK_DAEMONS',
    description: 'operator addresses of the daemons, HOST:PORT, separated by commas',
  }),
  'tls-ca-file': Flags.string({ env: 'SHALLOTPICK_TLS_CA_FILE', description: 'PEM file' }),
  'tls-cert-file': Flags.string({ env: 'SHALLOTPICK_TLS_CERT_FILE', description: 'PEM file' }),
  'tls-key-file': Flags.string({ env: 'SHALLOTPICK_TLS_KEY_FILE', description: 'PEM file' }),
};

/** The parsed values of the shared flags. */
type SharedFlags = Interfaces.InferredFlags<typeof SHARED_FLAGS>;

/** Base class of all commands: shared flags, access to platform and daemons, error handling. */
export abstract class OperatorCommand extends Command {
  static override baseFlags = SHARED_FLAGS;

  static override enableJsonFlag = true;

  /** @throws CommandError when the URL is missing or invalid. */
  protected createPlatformClient(flags: SharedFlags): Platform {
    const url = flags['platform-url'];
    if (url && URL.canParse(url)) return new HttpPlatform({ url });
    const given = url ? `"${url}"` : 'not set';
    throw new CommandError(
      'usage',
      `--platform-url (SHALLOTPICK_PLATFORM_URL) is ${given}; allowed: an http URL`,
    );
  }

  /** @throws CommandError when the addresses are missing or invalid. */
  protected readDaemonAddresses(flags: SharedFlags): readonly string[] {
    const addresses = (flags.daemons ?? '').split(',').filter((address) => address !== '');
    const wrong = addresses.find((address) => !/^.+:\d+$/.test(address));
    if (addresses.length > 0 && wrong === undefined) return addresses;
    const given = wrong === undefined ? 'not set' : `"${flags.daemons}"`;
    throw new CommandError(
      'usage',
      `--daemons (SHALLOTPICK_DAEMONS) is ${given}; allowed: HOST:PORT, separated by commas`,
    );
  }

  /** Runs `call` with a client of one daemon, and closes the client. */
  protected async callDaemon<T>(
    flags: SharedFlags,
    address: string,
    call: (client: OperatorClient) => Promise<T>,
  ): Promise<T> {
    const client = new OperatorClient(address, await this.loadCredentials(flags));
    try {
      return await call(client);
    } finally {
      client.close();
    }
  }

  /** Reads the status of all daemons concurrently; a failed call is reported as its error. */
  protected async readStatuses(flags: SharedFlags): Promise<readonly DaemonStatus[]> {
    return Promise.all(
      this.readDaemonAddresses(flags).map(async (address): Promise<DaemonStatus> => {
        try {
          const status = await this.callDaemon(flags, address, (client) => client.readStatus());
          return { address, status };
        } catch (error) {
          if (error instanceof CommandError) throw error;
          // The first sentence of a gRPC error names the status; the rest only helps to debug gRPC.
          return { address, error: String(error).split('. ')[0] };
        }
      }),
    );
  }

  protected override async catch(error: Error & { exitCode?: number }): Promise<unknown> {
    const converted = this.toCommandError(error);
    if (this.jsonEnabled() || !(converted instanceof CommandError)) return super.catch(converted);
    // Without oclif's line wrapping, so that editors can parse FILE:LINE:COLUMN.
    this.logToStderr(converted.message);
    process.exitCode = converted.exitCode;
    return undefined;
  }

  protected override toErrorJson(error: unknown): unknown {
    if (!(error instanceof CommandError)) {
      return { error: { code: 'usage', message: String(error) } };
    }
    return { error: { code: error.code, message: error.message, details: error.details } };
  }

  private toCommandError(error: Error): Error {
    if (error instanceof CommandError || 'oclif' in error) return error;
    if (error instanceof CoreError) return new CommandError('platform', error.message);
    if (error.name === 'PlatformError') {
      return new CommandError('platform', `${error.message}; retry the same command`);
    }
    return error;
  }

  private async loadCredentials(flags: SharedFlags): Promise<ChannelCredentials> {
    const names = ['tls-ca-file', 'tls-key-file', 'tls-cert-file'] as const;
    const files = names.map((name) => flags[name]);
    if (files.every((file) => file === undefined)) return credentials.createInsecure();
    const missing = names.find((name) => flags[name] === undefined);
    if (missing) {
      throw new CommandError(
        'usage',
        `--${missing} is not set; TLS needs all of --${names.join(', --')}`,
      );
    }
    const [ca, key, cert] = await Promise.all(
      files.map((file) =>
        readFile(file ?? '').catch((error: unknown) => {
          throw new CommandError('usage', String(error));
        }),
      ),
    );
    return credentials.createSsl(ca, key, cert);
  }
}
