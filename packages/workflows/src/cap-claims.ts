/**
 * Claims of steps to the caps of their accounts. A step that needs more than what ends at a time would otherwise wait for its cap for as long as
 * the account has smaller work, which takes what becomes free.
 */
import {type AccountName, type ServiceName} from '@tamarackwind/core';
import {
	addResources, hasCapRoom, isWithinCap, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';

/** A start that an account's cap may forbid. */
export type CappedStepStart = {
	readonly account: AccountName;
	readonly service: ServiceName;
	readonly spec: StepSpec;
	readonly cap: Resources;
	/** What the account uses over all pools. */
	readonly used: Resources;
	/** The part of it that long-running tasks use, which does not become free. */
	readonly lasting: Resources;
	/** Whether no run of the account is about to begin: one that begins after a start which exceeds the cap would exceed it, too. */
	readonly haveAllBegun: boolean;
	/** Time on the monotonic clock. */
	readonly now: number;
	/** Whether the start makes a claim if it is denied; true by default. */
	readonly isClaiming?: boolean;
};

/** Steps of a pool that ask for the same, and wait for the cap of their account. */
type CapClaim = Pick<CappedStepStart, 'service' | 'spec'> & {
	/** Time at which a start was first denied since their last one. */
	readonly since: number;
	/** Time at which a start was last denied, by the cap or for another claim. */
	deniedAt: number;
	/** Time at which the cap last forbade a start, or that of the claim for which a start was denied. */
	cappedAt: number;
};

/**
 * Time for which a step waits for the cap of its account before others of the account wait for it, in milliseconds: less than the users' limit
 * for accepted work. Long-running steps, which go first in the order of jobs, do not have to wait.
 */
const claimAfterMs = 1500;
/**
 * Time for which a claim holds others up after the cap last forbade the start, in milliseconds: several intervals between passes. It ends so if
 * the step is gone, or if the cap allows the start and its pool has no room. A start that is denied for another claim holds others up for no longer
 * than that claim: two steps without room would otherwise renew each other's claims.
 */
const claimLapseMs = 500;
/** Maximum number of claims of an account: a start is compared with each of them. */
const maxClaims = 8;

/** Claims of all accounts. The cap of an account is kept for one claim at a time: that of long-running steps, then the oldest. */
export class CapClaims {
	static create(): CapClaims {
		return new CapClaims();
	}

	/** Claims of each account, those of long-running steps first, and then by age. */
	readonly #claims = new Map<AccountName, CapClaim[]>();

	private constructor() {}

	/** Reports whether the cap of an account allows a start, beside what a step claims that has waited for longer. Passes ask for each queue, so this allocates little. */
	isAllowed(start: CappedStepStart): boolean {
		const {account, spec, cap, used, haveAllBegun, isClaiming = true} = start;
		const count = countTogether(spec);
		const claims = this.#claims.get(account);
		let isAllowed = haveAllBegun
			? isWithinCap({
				cap, used, task: spec.resources, count,
			})
			: hasCapRoom(cap, used, spec.resources, count);
		let cappedAt = start.now;
		if (isAllowed && claims !== undefined && claims.length > 0) {
			const claim = findFirst(claims, start);
			cappedAt = claim?.cappedAt ?? start.now;
			// A claim that has to exceed the cap waits until no other run is about to begin.
			isAllowed = claim === undefined || !isHeldBy(claim, start) || hasCapRoom(cap, addResources(used, spec.resources, count), claim.spec.resources, countTogether(claim.spec));
		}

		if (!isAllowed && isClaiming) {
			this.#record(start, claims, cappedAt);
		}

		return isAllowed;
	}

	/** Ends the claim of a step of which a task, or the gang, has been assigned. */
	noteStart(account: AccountName, service: ServiceName, spec: StepSpec): void {
		const claims = this.#claims.get(account);
		const index = claims?.findIndex(claim => isSameClaim(claim, {service, spec})) ?? -1;
		if (index >= 0) {
			claims!.splice(index, 1);
		}
	}

	/** Renews the claim of a start that is denied, or records one if it can be met; `cappedAt` is as in the claim. */
	#record(start: CappedStepStart, claims: CapClaim[] | undefined, cappedAt: number): void {
		const {account, service, spec, now} = start;
		for (const claim of claims ?? []) {
			if (isSameClaim(claim, start)) {
				claim.deniedAt = now;
				claim.cappedAt = Math.max(claim.cappedAt, cappedAt);
				return;
			}
		}

		const added = claims ?? [];
		removeEnded(added, start);
		if (added.length < maxClaims && isAttainable(spec, start)) {
			const position = spec.isLongRunning ? added.filter(claim => claim.spec.isLongRunning).length : added.length;
			added.splice(position, 0, {
				service, spec, since: now, deniedAt: now, cappedAt,
			});
			this.#claims.set(account, added);
		}
	}
}

/** Finds the claim for which the cap is kept, and drops those before it that have ended. */
function findFirst(claims: CapClaim[], start: CappedStepStart): CapClaim | undefined {
	removeEnded(claims, start);
	for (const claim of claims) {
		if (start.now - claim.cappedAt <= claimLapseMs && isAttainable(claim.spec, start)) {
			return claim;
		}
	}

	return undefined;
}

/** Removes the claims at the head that have not been renewed, or can't be met any more. */
function removeEnded(claims: CapClaim[], start: CappedStepStart): void {
	while (claims[0] !== undefined && (start.now - claims[0].deniedAt > claimLapseMs || !isAttainable(claims[0].spec, start))) {
		claims.shift();
	}
}

/** Number of tasks that start together. */
function countTogether({isGang, count}: StepSpec): number {
	return isGang ? count : 1;
}

/** Reports whether a cap allows a start once all tasks that end have ended. */
function isAttainable(spec: StepSpec, {cap, lasting}: CappedStepStart): boolean {
	return isWithinCap({
		cap, used: lasting, task: spec.resources, count: countTogether(spec),
	});
}

/** Reports whether a start waits for a claim. */
function isHeldBy(claim: CapClaim, start: CappedStepStart): boolean {
	if (isSameClaim(claim, start)) {
		return false;
	}

	return claim.spec.isLongRunning || (!start.spec.isLongRunning && start.now - claim.since >= claimAfterMs);
}

/** Reports whether a claim is that of a start, or of one that asks for the same in the same pool. */
function isSameClaim({service, spec}: CapClaim, start: Pick<CappedStepStart, 'service' | 'spec'>): boolean {
	const {resources} = start.spec;
	return spec === start.spec || (spec.resources.cpu === resources.cpu && spec.resources.memory === resources.memory && spec.resources.gpu === resources.gpu
		&& service === start.service && spec.isLongRunning === start.spec.isLongRunning && countTogether(spec) === countTogether(start.spec));
}
