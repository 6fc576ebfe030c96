import type {Settings} from '@camphortack/configuration';
import type {PeerTlsFiles} from '@camphortack/process';

/**
 * Gets the certificate files of the settings, or undefined if none are set.
 * @param peers - The settings of the peers' links.
 */
export function getPeerTlsFiles(peers: Settings['peers']): PeerTlsFiles | undefined {
	const {tlsCertificateFile, tlsKeyFile, tlsAuthorityFile} = peers;
	if (tlsCertificateFile === undefined || tlsKeyFile === undefined || tlsAuthorityFile === undefined) {
		return undefined;
	}

	return {certificateFile: tlsCertificateFile, keyFile: tlsKeyFile, authorityFile: tlsAuthorityFile};
}
