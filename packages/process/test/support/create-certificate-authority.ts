import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {webcrypto} from 'node:crypto';
import 'reflect-metadata';
import * as x509 from '@peculiar/x509';
import type {PeerTlsFiles} from '../../src/index.js';

x509.cryptoProvider.set(webcrypto);

const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const notBefore = new Date('2020-01-01T00:00:00Z');
const notAfter = new Date('2099-01-01T00:00:00Z');

/** A certificate authority that signs the certificates of daemons. */
export type CertificateAuthority = {
	/** Creates a certificate for a daemon and writes its three PEM files into a folder. */
	writeFiles(folder: string, host: string): Promise<PeerTlsFiles>;
};

/**
 * Creates a certificate authority with a new key.
 * @param name - The common name of the authority, which is also the prefix of the files.
 */
export async function createCertificateAuthority(name: string): Promise<CertificateAuthority> {
	const keys = await createKeys();
	const certificate = await x509.X509CertificateGenerator.createSelfSigned({
		name: `CN=${name}`,
		notBefore,
		notAfter,
		keys,
		signingAlgorithm: algorithm,
		extensions: [new x509.BasicConstraintsExtension(true, undefined, true)],
	});

	return {
		async writeFiles(folder, host) {
			const daemonKeys = await createKeys();
			const daemonCertificate = await x509.X509CertificateGenerator.create({
				subject: `CN=${host}`,
				issuer: certificate.subject,
				notBefore,
				notAfter,
				publicKey: daemonKeys.publicKey,
				signingKey: keys.privateKey,
				signingAlgorithm: algorithm,
				extensions: [new x509.SubjectAlternativeNameExtension([{type: 'ip', value: host}])],
			});
			const key = await webcrypto.subtle.exportKey('pkcs8', daemonKeys.privateKey);
			const files = {
				certificateFile: join(folder, `${name}-certificate.pem`),
				keyFile: join(folder, `${name}-key.pem`),
				authorityFile: join(folder, `${name}-authority.pem`),
			};
			writeFileSync(files.certificateFile, daemonCertificate.toString('pem'));
			writeFileSync(files.keyFile, x509.PemConverter.encode(key, 'PRIVATE KEY'));
			writeFileSync(files.authorityFile, certificate.toString('pem'));
			return files;
		},
	};
}

async function createKeys(): Promise<webcrypto.CryptoKeyPair> {
	return webcrypto.subtle.generateKey(algorithm, true, ['sign', 'verify']);
}
