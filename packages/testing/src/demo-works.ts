/**
 * What the callers of both example deployments send, and how each answer is checked.
 */
import {type RandomSource} from '@tamarackwind/core';
import {type DemoCall, type DemoCaller} from './demo-callers.js';
import {findPublicationFaults, findRedrawFaults, findSeasonFaults} from './league-checks.js';
import {
	type PublicationRequest, type RedrawRequest, type Season, type SeasonRequest,
} from './leagues.js';
import {findCellFaults, findRefitFaults, findRefreshFaults} from './notebook-checks.js';
import {type CellRequest, type RefitRequest, type RefreshRequest} from './notebooks.js';

export type SessionOptions = {
	readonly caller: DemoCaller;
	readonly callerId: string;
	readonly random: RandomSource;
	readonly signal: AbortSignal;
};

/** A deployment as the demo runs it. */
export abstract class DemoWork {
	abstract readonly deployment: string;
	abstract readonly callerIds: readonly string[];
	/** Work that must not run twice under one key. */
	abstract readonly nonIdempotentWorks: readonly string[];

	/** Sends work for one caller until the signal aborts. */
	abstract runSession(options: SessionOptions): Promise<void>;

	/** Lists the faults of an answer. */
	abstract findFaults(call: DemoCall, answer: unknown): string[];
}

const pitches = ['stadium', 'park', 'school', 'river'];
const clubCount = 12;
const clubs = Array.from({length: clubCount}, (_, index) => `club-${index + 1}`);
const referees = Object.fromEntries(Array.from({length: clubCount}, (_, index) => [`referee-${index + 1}`, `guest-${index + 1}`]));
const leagueServices = ['league-north', 'league-south', 'league-east', 'league-west'];

/** Season builds, redraws and publications of associations. */
export class FixtureWork extends DemoWork {
	static create(): FixtureWork {
		return new FixtureWork();
	}

	override readonly deployment = 'fixture';
	override readonly callerIds = ['riga-youth', 'kurzeme-youth', 'vidzeme-youth', 'latgale-youth'];
	override readonly nonIdempotentWorks = ['redraws', 'publications'];

	override async runSession({caller, callerId, random, signal}: SessionOptions): Promise<void> {
		const service = leagueServices[this.callerIds.indexOf(callerId) % leagueServices.length]!;
		while (!signal.aborted) {
			const request: SeasonRequest = {association: callerId, clubs, pitches};
			const built = await caller.send({
				service, work: 'seasons', workClass: 'batch', isIdempotent: true, body: request,
			});
			const rounds = (built.answer as Season | undefined)?.rounds ?? [];
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

	override findFaults({work, body}: DemoCall, answer: unknown): string[] {
		switch (work) {
			case 'seasons': {
				return findSeasonFaults(body as SeasonRequest, answer as Season);
			}

			case 'redraws': {
				return findRedrawFaults(body as RedrawRequest, answer as never);
			}

			default: {
				return findPublicationFaults(body as PublicationRequest, answer as never);
			}
		}
	}
}

const exposureCount = 40;
const drawCount = 2000;
const pointCount = 200;

/** Notebook cells, model refits and scheduled refreshes of analysts. */
export class NotebookWork extends DemoWork {
	static create(): NotebookWork {
		return new NotebookWork();
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

	override findFaults({work, body}: DemoCall, answer: unknown): string[] {
		switch (work) {
			case 'cells': {
				return findCellFaults(body as CellRequest, answer as never);
			}

			case 'refits': {
				return findRefitFaults(body as RefitRequest, answer as never);
			}

			default: {
				return findRefreshFaults(body as RefreshRequest, answer as never);
			}
		}
	}
}
