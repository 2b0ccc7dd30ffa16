/**
 * Whether gateways stay up, and all is served again after faults.
 *
 * @module
 */
import {smallestHostMegabytes} from '../../process-memory.ts';
import {contactMilliseconds} from '../history.ts';
import {wasLate} from '../watch-lateness.ts';
import {type Check} from './check.ts';

/** Share of requests that is served once all faults are made good. */
const servedShare = 0.9;

/** Requests from which that share counts. */
const servedSample = 20;

/** A gateway ends only when it is told to. */
export const noEndsOfTheirOwn: Check = history => history.ends
	.filter(({expected}) => !expected)
	.map(({gateway, reason}) => ({message: `${gateway} ended by itself (${reason})`}));

/** A gateway stays within the memory of the smallest host, whatever endpoints send. */
export const boundedMemory: Check = ({memory}) => memory
	.filter(({megabytes}) => megabytes > smallestHostMegabytes)
	.map(({gateway, megabytes}) => ({message: `${gateway} has had ${Math.round(megabytes)} MB`}));

/** Once faults are over and the time to recover has passed, requests are served. */
export const recovery: Check = (history, now) => {
	const {settledAt} = history;
	if (settledAt === undefined || (!history.isLastWatch && wasLate(history, settledAt - contactMilliseconds))) {
		return [];
	}

	const keys = new Set(Object.values(history.configurations.at(-1)!.keys).flat());
	const due = history.requests
		.filter(({key, sentAt, leftAt}) => keys.has(key) && sentAt > settledAt && leftAt === undefined)
		.filter(({sentAt, deadlineMilliseconds, answer}) => answer !== undefined || sentAt + deadlineMilliseconds < now);
	const lost = due.filter(({answer}) => !(answer?.status === 200 && answer.whole));
	return due.length >= servedSample && lost.length > due.length * (1 - servedShare)
		? [{attempt: lost[0]!.attempt, message: `${lost.length} of ${due.length} requests were not served after all faults were over`}]
		: [];
};
