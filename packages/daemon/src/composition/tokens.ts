import type {EventLog, PeerNetwork, RandomSource} from '@camphortack/core';
import type {Settings} from '@camphortack/configuration';
import type {ConfigurationFollower, EvacuationClient, Keeper} from '@camphortack/consensus';
import type {Dispatcher} from '@camphortack/dispatch';
import type {Membership} from '@camphortack/membership';
import type {DistributedLimiter} from '@camphortack/policy';
import type {RegisterAssignment, RegisterClient, TicketTable} from '@camphortack/register';
import type {ServiceIdentifier} from 'inversify';
import {type TcpPeerNetwork, type SystemTimers} from '@camphortack/process';
import type {HttpTaskStarter} from '../backend/http-task-starter.js';
import type {ConfigurationService} from '../configuration/configuration-service.js';
import type {JobService} from '../jobs/job-service.js';
import type {CountingMetricSink} from '../metrics/counting-metric-sink.js';
import type {PeerRouter} from '../peers/peer-router.js';
import type {KeeperRegister} from '../register/keeper-register.js';
import type {DaemonIdentity} from '../runtime/daemon-identity.js';
import type {DaemonStorage} from '../storage/daemon-storage.js';

function createToken<Type>(name: string): ServiceIdentifier<Type> {
	return Symbol.for(`camphortack.${name}`);
}

/** The service identifiers of the components in the container of a daemon. */
export const tokens = {
	settings: createToken<Settings>('settings'),
	identity: createToken<DaemonIdentity>('identity'),
	timers: createToken<SystemTimers>('timers'),
	random: createToken<RandomSource>('random'),
	metrics: createToken<CountingMetricSink>('metrics'),
	events: createToken<EventLog>('events'),
	peerRouter: createToken<PeerRouter>('peer-router'),
	peerNetwork: createToken<TcpPeerNetwork>('peer-network'),
	peers: createToken<PeerNetwork>('peers'),
	membership: createToken<Membership>('membership'),
	taskStarter: createToken<HttpTaskStarter>('task-starter'),
	limits: createToken<DistributedLimiter>('limits'),
	dispatcher: createToken<Dispatcher>('dispatcher'),
	storage: createToken<DaemonStorage | undefined>('storage'),
	keeper: createToken<Keeper | undefined>('keeper'),
	follower: createToken<ConfigurationFollower>('follower'),
	evacuationClient: createToken<EvacuationClient>('evacuation-client'),
	configurationService: createToken<ConfigurationService>('configuration-service'),
	assignment: createToken<RegisterAssignment>('register-assignment'),
	tickets: createToken<TicketTable>('tickets'),
	registerClient: createToken<RegisterClient>('register-client'),
	register: createToken<KeeperRegister | undefined>('register'),
	jobs: createToken<JobService>('jobs'),
};
