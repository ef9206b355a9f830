/**
 * Requests of the callers of both example deployments, and the validation of their results.
 */
import {type RandomSource} from '@tamarackwind/core';
import {type DemoCall, type DemoCaller} from './demo-callers.js';
import {findPublicationFaults, findRedrawFaults, findSeasonFaults} from './league-checks.js';
import {
	type PublicationRequest, type RedrawRequest, type Season, type SeasonRequest,
} from './league-services.js';
import {findCellFaults, findRefitFaults, findRefreshFaults} from './notebook-checks.js';
import {type CellRequest, type RefitRequest, type RefreshRequest} from './notebook-services.js';

export type SessionOptions = {
	readonly caller: DemoCaller;
	readonly callerId: string;
	readonly random: RandomSource;
	readonly signal: AbortSignal;
};

/** Workload of an example deployment in the demo. */
export abstract class DemoWorkload {
	abstract readonly deployment: string;
	abstract readonly callerIds: readonly string[];
	/** Types of work that must not run more than once per idempotency key. */
	abstract readonly nonIdempotentWorks: readonly string[];

	/** Sends requests for one caller until the signal aborts. */
	abstract runSession(options: SessionOptions): Promise<void>;

	/** Returns the faults of a result. */
	abstract findFaults(call: DemoCall, result: unknown): string[];
}

const pitches = ['stadium', 'park', 'school', 'river'];
const clubCount = 12;
const clubs = Array.from({length: clubCount}, (_, index) => `club-${index + 1}`);
const referees = Object.fromEntries(Array.from({length: clubCount}, (_, index) => [`referee-${index + 1}`, `guest-${index + 1}`]));
const leagueServices = ['league-north', 'league-south', 'league-east', 'league-west'];

/** Workload of sports associations: season builds, redraws and publications. */
export class FixtureWorkload extends DemoWorkload {
	static create(): FixtureWorkload {
		return new FixtureWorkload();
	}

	override readonly deployment = 'fixture';
	override readonly callerIds = ['riga-youth', 'kurzeme-youth', 'vidzeme-youth', 'latgale-youth'];
	override readonly nonIdempotentWorks = ['redraws', 'publications'];

	override async runSession({caller, callerId, random, signal}: SessionOptions): Promise<void> {
		const service = leagueServices[this.callerIds.indexOf(callerId) % leagueServices.length]!;
		while (!signal.aborted) {
			const request: SeasonRequest = {association: callerId, clubs, pitches};
			const seasonOutcome = await caller.send({
				service, work: 'seasons', workClass: 'batch', isIdempotent: true, body: request,
			});
			const rounds = (seasonOutcome.result as Season | undefined)?.rounds ?? [];
			for (const round of rounds) {
				if (signal.aborted) {
					return;
				}

				const redraw: RedrawRequest = {
					association: callerId, round, pitches, lostPitch: random.pickItem(pitches)!,
				};
				const publication: PublicationRequest = {association: callerId, round, referees};
				await Promise.all([
					caller.send({
						service, work: 'redraws', workClass: 'urgent', isIdempotent: false, body: redraw,
					}),
					caller.send({
						service, work: 'publications', workClass: 'interactive', isIdempotent: false, body: publication,
					}),
				]);
			}
		}
	}

	override findFaults({work, body}: DemoCall, result: unknown): string[] {
		switch (work) {
			case 'seasons': {
				return findSeasonFaults(body as SeasonRequest, result as Season);
			}

			case 'redraws': {
				return findRedrawFaults(body as RedrawRequest, result as never);
			}

			default: {
				return findPublicationFaults(body as PublicationRequest, result as never);
			}
		}
	}
}

const exposureCount = 40;
const drawCount = 2000;
const pointCount = 200;

/** Workload of analysts: notebook cells, model refits and scheduled refreshes. */
export class NotebookWorkload extends DemoWorkload {
	static create(): NotebookWorkload {
		return new NotebookWorkload();
	}

	override readonly deployment = 'notebook';
	override readonly callerIds = ['credit-desk', 'market-desk', 'treasury-desk'];
	override readonly nonIdempotentWorks = ['refreshes'];

	override async runSession({caller, callerId, random, signal}: SessionOptions): Promise<void> {
		const drawNumbers = (count: number): number[] => Array.from({length: count}, () => Math.round(random.readFraction() * 1000));
		while (!signal.aborted) {
			const cell: CellRequest = {
				analyst: callerId, exposures: drawNumbers(exposureCount), seed: random.pickIndex(1000), draws: drawCount,
			};
			const refit: RefitRequest = {analyst: callerId, points: drawNumbers(pointCount).map((y, x) => [x, y] as const)};
			const refresh: RefreshRequest = {analyst: callerId, workbook: `${callerId}-daily`, figures: drawNumbers(10)};
			await Promise.all([
				caller.send({
					service: 'cells', work: 'cells', workClass: 'interactive', isIdempotent: true, body: cell,
				}),
				caller.send({
					service: 'risk', work: 'refits', workClass: 'interactive', isIdempotent: true, body: refit,
				}),
				caller.send({
					service: 'refresh', work: 'refreshes', workClass: 'batch', isIdempotent: false, body: refresh,
				}),
			]);
		}
	}

	override findFaults({work, body}: DemoCall, result: unknown): string[] {
		switch (work) {
			case 'cells': {
				return findCellFaults(body as CellRequest, result as never);
			}

			case 'refits': {
				return findRefitFaults(body as RefitRequest, result as never);
			}

			default: {
				return findRefreshFaults(body as RefreshRequest, result as never);
			}
		}
	}
}
