// Bundles the platform daemon into one file, so that a restart reads and compiles as little code as possible.
import process from 'node:process';
import {build} from 'esbuild';

const banner = [
	'import {createRequire as createBundleRequire} from "node:module";',
	'import {fileURLToPath as getBundlePath} from "node:url";',
	'const require = createBundleRequire(import.meta.url);',
	'const __filename = getBundlePath(import.meta.url);',
	'const __dirname = __filename.slice(0, __filename.lastIndexOf("/"));',
];

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/camphortackd.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	conditions: ['camphortack-source'],
	alias: {undici: './scripts/undici-pool.cjs'},
	minifySyntax: true,
	legalComments: 'none',
	// The bundled CommonJS libraries call require, which ES modules do not define.
	banner: {js: banner.join('\n')},
	logLevel: 'warning',
});
process.stdout.write('target/camphortackd.mjs\n');
