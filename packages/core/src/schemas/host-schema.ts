import {isIP} from 'node:net';
import {z} from 'zod';

const maxNameLength = 253;
/** Labels of a host name, and the dot that may end a complete one. Names with an underscore are in use in container networks. */
const namePattern = /^(?:[\da-z_](?:[\w\-]{0,61}[\da-z_])?\.)*[\da-z_](?:[\w\-]{0,61}[\da-z_])?\.?$/iv;

/**
 * Whether a text is a host that sockets and URLs can use: an IPv4 address, an IPv6 address without brackets or zone, or a host
 * name as DNS defines it.
 * @param text - The host, without a port.
 *
 * @example
 * ```ts
 * isHost('10.0.0.1'); // true
 * isHost('::1'); // true
 * isHost('quotes-1.example'); // true
 * isHost('[::1'); // false
 * isHost('10.0.0.1/x'); // false
 * ```
 */
export function isHost(text: string): boolean {
	const version = isIP(text);
	if (version !== 0) {
		return version === 4 || !text.includes('%');
	}

	// URLs read a name that ends in a number as an IPv4 address, and check the labels of international names.
	return text.length <= maxNameLength && namePattern.test(text) && URL.canParse(`http://${text}`) && isIP(new URL(`http://${text}`).hostname) === 0;
}

/** A host that sockets and URLs can use. */
export const hostSchema = z.string().refine(isHost, 'must be an IP address or a host name');
