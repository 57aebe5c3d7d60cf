import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { generate } from 'selfsigned';

/** Paths of the PEM files of an issued certificate. */
export interface IssuedCertificateFiles {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}

/** A certificate authority for tests, with its files in a temporary directory. */
export interface CertificateAuthority {
  issue(file: string, dnsName: string): Promise<IssuedCertificateFiles>;
  remove(): Promise<void>;
}

/** Creates a certificate authority for tests; `remove` deletes its files. */
export async function createCertificateAuthority(): Promise<CertificateAuthority> {
  const directory = await mkdtemp(join(tmpdir(), 'shallotpick-tls-'));
  const root = await generate([{ name: 'commonName', value: 'test authority' }], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      { name: 'basicConstraints', cA: true, critical: true },
      { name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true },
    ],
  });
  const ca = join(directory, 'ca.pem');
  await writeFile(ca, root.cert);
  const issue = async (file: string, dnsName: string) => {
    const issued = await generate([{ name: 'commonName', value: dnsName }], {
      keyType: 'ec',
      algorithm: 'sha256',
      ca: { key: root.private, cert: root.cert },
      extensions: [
        { name: 'basicConstraints', cA: false },
        { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
        {
          name: 'subjectAltName',
          altNames: [
            { type: 2, value: dnsName },
            { type: 7, ip: '127.0.0.1' },
          ],
        },
      ],
    });
    const key = join(directory, `${file}.key`);
    const cert = join(directory, `${file}.pem`);
    await Promise.all([writeFile(key, issued.private), writeFile(cert, issued.cert)]);
    return { key, cert, ca };
  };
  return { issue, remove: () => rm(directory, { recursive: true }) };
}
