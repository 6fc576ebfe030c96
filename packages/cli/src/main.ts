import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {Cli} from 'clipanion';
import {CryptoRandomSource} from './adapters/crypto-random-source.js';
import {runCamphortack} from './run-camphortack.js';

process.exitCode = await runCamphortack(process.argv.slice(2), {
	...Cli.defaultContext,
	random: new CryptoRandomSource(),
	wait,
});
