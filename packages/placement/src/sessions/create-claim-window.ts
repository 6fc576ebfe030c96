/** Limits how many claims of a placer are in flight. */
export type ClaimWindow = {
	/** Sends a claim as soon as there is room. Retries go after claims that are sent for the first time. */
	enter(isRetry: boolean, send: () => void): void;
	/** Records the end of a claim and how long its answer took; undefined if it went unanswered. */
	leave(responseMs: number | undefined): void;
};

const initialClaimCount = 8;
/** While this VM is behind: enough that it prepares one claim while another is under way and a third is answered. */
const behindClaimCount = 3;
/** A slower answer means that this VM, rather than the backend server, is busy: more claims at once would go unanswered. */
const quickResponseMs = 40;

/**
 * Creates the window of a placer. A new placer claims all backend servers of its shard. On a small VM the connections alone take
 * longer than the timeout of a claim, so claims sent all at once would go unanswered, and be sent again, for seconds. The
 * window starts small and, as in TCP, grows with each quick answer: a fast VM claims everything within a few round
 * trips, a slow one as fast as it can, and the first backend servers are in use meanwhile.
 * While the VM is behind, claims beyond a few would only make starts wait that are already needed.
 * @param isBehind - Whether this VM is short of processor time.
 *
 * @example
 * ```ts
 * const window = createClaimWindow(() => false);
 * window.enter(false, sendClaim);
 * window.leave(2); // Room for two more claims.
 * ```
 */
export function createClaimWindow(isBehind: () => boolean): ClaimWindow {
	const firstClaims: Array<() => void> = [];
	const retries: Array<() => void> = [];
	let size = initialClaimCount;
	let inFlight = 0;

	function sendNext(): void {
		while (inFlight < (isBehind() ? behindClaimCount : size)) {
			const send = firstClaims.shift() ?? retries.shift();
			if (send === undefined) {
				return;
			}

			inFlight++;
			send();
		}
	}

	return {
		enter(isRetry, send) {
			(isRetry ? retries : firstClaims).push(send);
			sendNext();
		},
		leave(responseMs) {
			inFlight--;
			size += responseMs !== undefined && responseMs < quickResponseMs ? 1 : 0;
			sendNext();
		},
	};
}
