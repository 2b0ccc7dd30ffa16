/**
 * Runs the bundled gateway from V8's code cache, or without it where the cache is missing or made by another version of Node.
 *
 * @module
 */
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const process = require('node:process');
const {pathToFileURL} = require('node:url');
const {Script} = require('node:vm');

const name = __filename.replace(/\.cjs$/v, '');
const cacheFile = `${name}.cache`;
const scriptFile = `${name}.script.js`;

function readCache() {
	try {
		return readFileSync(cacheFile);
	} catch (error) {
		if (error.code !== 'ENOENT') {
			console.error(`${cacheFile} cannot be read, the gateway starts without it: ${error.message}`);
		}

		return undefined;
	}
}

const script = new Script(readFileSync(scriptFile, 'utf8'), {filename: scriptFile, cachedData: readCache()});
if (process.env.AZURETACK_WRITE_CODE_CACHE === '1') {
	process.on('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
}

script.runInThisContext()(require, {url: pathToFileURL(__filename).href, filename: __filename, dirname: __dirname});
