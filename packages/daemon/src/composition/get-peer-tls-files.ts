import type {Settings} from '@camphortack/configuration';
import type {PeerTlsFiles} from '@camphortack/process';

/**
 * Gets the TLS files from the settings, or undefined unless all of them are set.
 * @param peers - The settings of the peer connections.
 */
export function getPeerTlsFiles(peers: Settings['peers']): PeerTlsFiles | undefined {
	const {tlsCertificateFile, tlsKeyFile, tlsAuthorityFile} = peers;
	if (tlsCertificateFile === undefined || tlsKeyFile === undefined || tlsAuthorityFile === undefined) {
		return undefined;
	}

	return {certificateFile: tlsCertificateFile, keyFile: tlsKeyFile, authorityFile: tlsAuthorityFile};
}
