import {isIPv6} from 'node:net';
import {isHost} from '@camphortack/core';

/**
 * Whether a text is a host as a URL contains it: an IPv4 address, an IPv6 address in brackets, or a host name.
 * @param text - The host, without a port.
 *
 * @example
 * ```ts
 * isUrlHost('10.0.0.1'); // true
 * isUrlHost('[::1]'); // true
 * isUrlHost('::1'); // false
 * isUrlHost('[::1'); // false
 * ```
 */
export function isUrlHost(text: string): boolean {
	if (text.startsWith('[') && text.endsWith(']')) {
		const address = text.slice(1, -1);
		return isIPv6(address) && isHost(address);
	}

	return isHost(text) && !isIPv6(text);
}
