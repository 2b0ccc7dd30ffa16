#!/usr/bin/env node
/**
 * The gateway daemon: listens for callers where its settings ask for that, then evaluates and runs the gateway.
 *
 * The order of the imports matters: evaluating the second one takes most of the processor time of a start.
 *
 * @module
 */
import process from 'node:process';
import {earlyCallers} from './_early-callers.ts';
import {runGateway} from './_run-gateway.ts';

await runGateway({
	earlyCallers,
	exit(code) {
		process.exit(code);
	},
});
