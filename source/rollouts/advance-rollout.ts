/**
 * Decides the next step of a roll-out.
 *
 * @module
 */
import {type Evidence} from './evidence.ts';
import {grantedShare, usedShare} from './exposure.ts';
import {certainty, judgeVersion} from './judge.ts';
import {
	isFinal, type RolloutBounds, type RolloutOrder, type RolloutRecord,
} from './rollout.ts';

/** What a new roll-out starts from. */
export type RolloutStart = {
	order: RolloutOrder;
	/** Newest record of the service. */
	previous: RolloutRecord | undefined;
	/** Version of the service's endpoints before any order; undefined if there are only endpoints of the ordered version. */
	established: string | undefined;
	/** Processes of gateways, in random order. */
	gateways: readonly string[];
	bounds: RolloutBounds;
	/** Store time, in milliseconds. */
	now: number;
};

/** What the next step of a roll-out follows from. */
export type RolloutProgress = {
	record: RolloutRecord;
	/** Evidence of the whole trial, and of its last seconds. */
	total: Evidence;
	recent: Evidence;
	/** Number of endpoints of the new version. */
	trialEndpoints: number;
	bounds: RolloutBounds;
	/** Store time, in milliseconds. */
	now: number;
};

/** Shares of the exposure that gateways use, in steps. */
const steps = [0.3, 1] as const;

/** Answers of the new version after which its share rises to the next step. */
const answersForNextStep = 8;

/** Part of the duration after which the share rises to the next step, with fewer answers too. */
const nextStepPart = 0.25;

/** Answers of the new version without which it is not accepted. */
const minimumAnswers = 5;

/** Time before the deadline at which an order is to be completed, in milliseconds: the order's way to a gateway, and several attempts to write. */
const completionMarginMilliseconds = 1500;

/** Returns the first record of an order. */
export function startRollout({order, previous, established, gateways, bounds, now}: RolloutStart): RolloutRecord {
	const settled = previous ? settledVersion(previous) : established;
	const isSettled = settled === undefined || settled === order.to;
	return {
		sequence: (previous?.sequence ?? 0) + 1,
		order: order.id,
		service: order.service,
		to: order.to,
		established: settled ?? order.to,
		phase: isSettled ? 'completed' : 'running',
		share: bounds.exposeShare * usedShare * steps[0],
		grantees: gateways.slice(0, Math.floor(bounds.exposeSlack * grantedShare)),
		acceptedAt: now,
		deadlineAt: now + order.durationMilliseconds,
		phaseAt: now,
		reason: isSettled ? 'the version serves already' : 'the order was accepted',
	};
}

/** Returns the record that follows, or undefined if nothing changes now. */
export function advanceRollout(progress: RolloutProgress): RolloutRecord | undefined {
	const {record, total, recent, trialEndpoints, bounds, now} = progress;
	if (isFinal(record)) {
		return undefined;
	}

	const next = (phase: RolloutRecord['phase'], reason: string): RolloutRecord => ({
		...record, sequence: record.sequence + 1, phase, phaseAt: now, reason,
	});
	const judgements = [total, recent].map(evidence => judgeVersion(evidence, certainty.during, trialEndpoints));
	const bad = judgements.find(({isBad}) => isBad);
	if (bad) {
		return next('rolled-back', bad.reason);
	}

	const {answers, reason} = judgements[0]!;
	if (record.phase === 'promoted') {
		return now >= completionTime(record) && now >= record.phaseAt + Math.min(bounds.spreadMilliseconds, promotionLead(record, bounds)) ? next('completed', reason) : undefined;
	}

	if (now >= completionTime(record) - promotionLead(record, bounds)) {
		const final = judgeVersion(total, certainty.final, trialEndpoints);
		const isAccepted = !final.isBad && answers >= minimumAnswers;
		return isAccepted ? next('promoted', reason) : next('rolled-back', final.isBad ? final.reason : `too little is known: ${reason}`);
	}

	const share = bounds.exposeShare * usedShare * steps[1];
	const mayRise = answers >= answersForNextStep || now >= record.acceptedAt + (duration(record) * nextStepPart);
	return mayRise && record.share < share ? {...next('running', `the share rises: ${reason}`), share} : undefined;
}

/** Version that serves all requests after what a record says. */
export function settledVersion({phase, to, established}: RolloutRecord): string {
	return phase === 'completed' || phase === 'promoted' ? to : established;
}

function completionTime({acceptedAt, deadlineAt}: RolloutRecord): number {
	return Math.max((acceptedAt + deadlineAt) / 2, deadlineAt - completionMarginMilliseconds);
}

/** Time before the completion at which all requests are sent to the new version, since the old one stops at the completion; in milliseconds. */
function promotionLead(record: RolloutRecord, {spreadMilliseconds}: RolloutBounds): number {
	return Math.min(spreadMilliseconds, duration(record) / 4);
}

function duration({acceptedAt, deadlineAt}: RolloutRecord): number {
	return deadlineAt - acceptedAt;
}
