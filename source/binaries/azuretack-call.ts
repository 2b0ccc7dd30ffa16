#!/usr/bin/env node
/**
 * The reference client: prints the tokens of a generation as they arrive and continues when an entry or engine is lost.
 *
 * @module
 */
import process from 'node:process';
import meow from 'meow';
import {EntryList, complete} from '../client/mod.ts';

const command = meow(`
	Usage
	  $ azuretack-call --entry ADDRESS --service NAME PROMPT

	Options
	  --entry ADDRESS  An entry host to ask first; may be repeated
	  --service NAME   Service to call
	  --tokens N       Tokens of the answer at most (default 256)
	  --seed N         Seed of the generation

	Environment
	  AZURETACK_KEY    Key of the workspace
`, {
	importMeta: import.meta,
	flags: {
		entry: {type: 'string', isMultiple: true, isRequired: true},
		service: {type: 'string', isRequired: true},
		tokens: {type: 'number', default: 256},
		seed: {type: 'number'},
	},
});

const answer = await complete({
	entries: new EntryList({seeds: command.flags.entry}),
	key: process.env.AZURETACK_KEY ?? '',
	request: {
		model: command.flags.service, prompt: command.input.join(' '), max_tokens: command.flags.tokens, seed: command.flags.seed,
	},
	onToken(text) {
		process.stdout.write(text);
	},
});
process.stdout.write('\n');
if (answer.isErr()) {
	console.error(`${answer.error.code}: ${answer.error.message} (run: ${answer.error.run})`);
	process.exit(1);
}

console.error(`${answer.value.tokens} tokens, ${answer.value.reconnections} reconnections, longest gap ${Math.round(answer.value.longestGapMilliseconds)} ms`);
