/**
 * Bundles the gateway into one script with V8's code cache beside it, so that its start reads and compiles nothing that it does not use.
 *
 * The output is `azuretack-gateway.cjs`, which runs the script from the cache, the script, and the cache, in the folder that the argument
 * names, by default `target`.
 *
 * @module
 */
import {execFileSync} from 'node:child_process';
import {
	copyFile, mkdir, rename, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build, transform} from 'esbuild';

const folder = process.argv[2] ?? 'target';
const target = path.join(folder, 'azuretack-gateway');

/** Parts of dependencies that the gateway never uses and that load much; each is replaced by nothing. */
const unused = /^\.\/lib\/pushgateway$/; // eslint-disable-line require-unicode-regexp -- It is read as a Go expression.

const leaveOut = {
	name: 'leave-out',
	setup({onResolve, onLoad}) {
		onResolve({filter: unused}, ({path}) => ({path, namespace: 'left-out'}));
		onLoad({filter: unused, namespace: 'left-out'}, () => ({contents: 'module.exports = {};'}));
	},
};

/** Turns the imports of Node's own modules into calls of `require`, since a script has no imports. */
function asScript(code) {
	const body = code.replace(/^#!.*/v, '').replaceAll(/^import (?<names>[^;]+?) from "(?<module>[^"]+)";$/gmv, (_statement, names, module) => {
		const [, single, list] = /^(?<single>[\w$]+)?(?:,? ?\{(?<list>[^\}]*)\})?$/v.exec(names.replaceAll(/\s+/gv, ' ')) ?? [];
		const parts = (list ?? '').split(',').map(part => part.trim().replace(' as ', ': ')).filter(part => part !== '');
		return [
			...(single ? [`const ${single} = require("${module}");`] : []),
			...(parts.length > 0 ? [`const {${parts.join(', ')}} = require("${module}");`] : []),
		].join(' ');
	});
	if (/^(?:import|export)\b/mv.test(body)) {
		throw new Error('the bundle holds an import or export that is not understood');
	}

	return `(async (require, moduleOfProgram) => {${body}\n});`;
}

const {outputFiles: [bundle]} = await build({
	entryPoints: ['source/binaries/azuretack-gateway.ts'],
	bundle: true,
	write: false,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	mainFields: ['module', 'main'],
	minifySyntax: true,
	legalComments: 'none',
	define: {'import.meta': 'moduleOfProgram'},
	plugins: [leaveOut],
});
await mkdir(folder, {recursive: true});
await rm(`${target}.cache`, {force: true});
const script = await transform(asScript(bundle.text), {minifyWhitespace: true, target: 'node20'});
// Renamed into place, so that a gateway which starts meanwhile reads a whole file.
await writeFile(`${target}.script.js.new`, script.code);
await rename(`${target}.script.js.new`, `${target}.script.js`);
await copyFile('deploy/run-script.cjs', `${target}.cjs.new`);
await rename(`${target}.cjs.new`, `${target}.cjs`);
// The first run compiles what a start needs; what it has compiled is kept. A cache holds only for the options of Node in deploy/system.toml.
execFileSync(process.execPath, ['--max-old-space-size=96', '--max-semi-space-size=4', `${target}.cjs`, '--check', '--settings', 'deploy/example.gateway.jsonc'], {
	env: {...process.env, AZURETACK_WRITE_CODE_CACHE: '1'},
});
