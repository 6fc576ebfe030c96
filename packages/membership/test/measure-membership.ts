import {MembershipCluster} from './membership-cluster.js';

/** Prints what membership costs each daemon at rest, and how long each of some crashes takes to be seen by all. */
const measuredMs = 60_000;
const crashes = 10;

for (const nodesPerZone of [2, 8, 32, 128]) {
	const cluster = new MembershipCluster(1, nodesPerZone);
	cluster.timers.advance(60_000);
	const before = {...cluster.network.totals};
	cluster.timers.advance(measuredMs);
	const {sentBytes, sentMessages} = cluster.network.totals;
	const perDaemonSecond = 1000 / measuredMs / nodesPerZone;
	const detectionsMs: number[] = [];
	for (let crash = 0; crash < crashes; crash++) {
		const id = `z0n${crash % nodesPerZone}`;
		const others = [...cluster.nodes.keys()].filter(each => each !== id);
		cluster.crash(id);
		detectionsMs.push(cluster.findTimeToAgree(others, 20_000) ?? Infinity);
		cluster.start(id);
		cluster.timers.advance(10_000 + cluster.random.getInteger(0, 400));
	}

	detectionsMs.sort((left, right) => left - right);
	console.log(JSON.stringify({
		daemons: nodesPerZone,
		messagesPerSecond: Number(((sentMessages - before.sentMessages) * perDaemonSecond).toFixed(2)),
		bytesPerSecond: Math.round((sentBytes - before.sentBytes) * perDaemonSecond),
		detectionMedianMs: detectionsMs[crashes / 2],
		detectionLongestMs: detectionsMs.at(-1),
	}));
}
