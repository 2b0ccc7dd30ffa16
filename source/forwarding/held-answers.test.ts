import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {HeldAnswers} from './held-answers.ts';

test('an answer is held within its own bound and that of all, and what is released can be held again', () => {
	const held = new HeldAnswers({answerBytes: 100, totalBytes: 250, passedOn: 1});
	const answers = [held.begin(), held.begin(), held.begin()];
	assert.deepEqual(answers.map(answer => answer.hold(100)), [true, true, false]);
	answers[0]!.release();
	assert.equal(answers[2]!.hold(100), true);
	assert.equal(answers[1]!.hold(101), false);
});

test('the total is the sum of what is held', () => {
	fc.assert(fc.property(fc.array(fc.record({index: fc.nat(3), bytes: fc.nat(1000)})), changes => {
		const held = new HeldAnswers({answerBytes: 500, totalBytes: 1500, passedOn: 1});
		const answers = Array.from({length: 4}, () => held.begin());
		const bytes = [0, 0, 0, 0];
		for (const change of changes) {
			bytes[change.index] = change.bytes;
			const sum = bytes.reduce((total, each) => total + each);
			assert.equal(answers[change.index]!.hold(change.bytes), change.bytes <= 500 && sum <= 1500);
			assert.equal(held.total, sum);
		}
	}));
});

test('answers that are passed on hold nothing, and only so many are at a time', () => {
	const held = new HeldAnswers({answerBytes: 100, totalBytes: 250, passedOn: 2});
	const answers = [held.begin(), held.begin(), held.begin()];
	answers[0]!.hold(101);
	assert.deepEqual(answers.map(answer => answer.passOn()), [true, true, false]);
	assert.equal(held.total, 0);
	assert.equal(answers[0]!.passOn(), true);
	answers[0]!.release();
	answers[0]!.release();
	assert.equal(answers[2]!.passOn(), true);
	assert.equal(held.begin().passOn(), false);
});
