/**
 * Work of the Youth League Fixture Scheduling Cluster: season builds, redraws and referee assignments.
 */

/** A match between two clubs on a pitch. */
export type Match = {
	readonly home: string;
	readonly away: string;
	readonly pitch: string;
	/** Kick-off slot of the day, counted from 0. */
	readonly kickOff: number;
};

/** Matches of one match day. */
export type Round = readonly Match[];

export type SeasonRequest = {
	readonly association: string;
	readonly clubs: readonly string[];
	readonly pitches: readonly string[];
};

/** Double round-robin season of an association. */
export type Season = {readonly association: string; readonly rounds: readonly Round[]};

export type RedrawRequest = {
	readonly association: string;
	readonly round: Round;
	readonly pitches: readonly string[];
	readonly lostPitch: string;
};

export type RedrawnRound = {readonly association: string; readonly round: Round};

export type PublicationRequest = {
	readonly association: string;
	readonly round: Round;
	/** Referees by name, with the club that each belongs to. */
	readonly referees: Readonly<Record<string, string>>;
};

export type Assignment = {readonly match: Match; readonly referee: string};

export type Publication = {readonly association: string; readonly assignments: readonly Assignment[]};

const bye = '';

/**
 * Pairs clubs by the circle method: the first stays, the others turn by one place each round.
 */
function listPairings(clubs: readonly string[]): Array<Array<readonly [string, string]>> {
	const [fixed, ...others] = clubs.length % 2 === 0 ? clubs : [...clubs, bye];
	const rounds: Array<Array<readonly [string, string]>> = [];
	for (let turn = 0; turn < others.length; turn++) {
		const circle = [fixed!, ...others.slice(turn), ...others.slice(0, turn)];
		const half = circle.length / 2;
		const pairs = circle.slice(0, half).map((club, index) => [club, circle.at(-1 - index)!] as const);
		rounds.push(pairs.filter(pair => !pair.includes(bye)));
	}

	return rounds;
}

function placeMatches(pairs: ReadonlyArray<readonly [string, string]>, pitches: readonly string[]): Round {
	return pairs.map(([home, away], index) => ({
		home, away, pitch: pitches[index % pitches.length]!, kickOff: Math.floor(index / pitches.length),
	}));
}

/** Builds a double round-robin season: each pair meets once at home and once away. */
export function buildSeason({association, clubs, pitches}: SeasonRequest): Season {
	const first = listPairings(clubs).map((pairs, turn) => turn % 2 === 0 ? pairs : pairs.map(([home, away]) => [away, home] as const));
	const second = first.map(pairs => pairs.map(([home, away]) => [away, home] as const));
	return {association, rounds: [...first, ...second].map(pairs => placeMatches(pairs, pitches))};
}

/** Draws a round again without a lost pitch; the pairings stay. */
export function buildRedraw({association, round, pitches, lostPitch}: RedrawRequest): RedrawnRound {
	const left = pitches.filter(pitch => pitch !== lostPitch);
	return {association, round: placeMatches(round.map(({home, away}) => [home, away] as const), left)};
}

/**
 * Assigns a referee of neither club to each match, none of them twice at one kick-off.
 *
 * @throws {RangeError} when the referees do not suffice.
 */
export function buildPublication({association, round, referees}: PublicationRequest): Publication {
	const taken = new Set<string>();
	const assignments = round.map(match => {
		const found = Object.entries(referees).find(([name, club]) => club !== match.home && club !== match.away && !taken.has(`${name} ${match.kickOff}`));
		if (found === undefined) {
			throw new RangeError(`no referee is free for ${match.home} against ${match.away}`);
		}

		taken.add(`${found[0]} ${match.kickOff}`);
		return {match, referee: found[0]};
	});
	return {association, assignments};
}
