/**
 * Implements the sample services of the Youth League Fixture Scheduling Cluster: season builds, redraws and referee assignments.
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
	/** Club of each referee, by the referee's name. */
	readonly referees: Readonly<Record<string, string>>;
};

export type Assignment = {readonly match: Match; readonly referee: string};

export type Publication = {readonly association: string; readonly assignments: readonly Assignment[]};

const bye = '';

/**
 * Pairs clubs by the circle method: the first club stays in place, the others rotate by one position each round.
 */
function listPairings(clubs: readonly string[]): Array<Array<readonly [string, string]>> {
	const [fixed, ...others] = clubs.length % 2 === 0 ? clubs : [...clubs, bye];
	const rounds: Array<Array<readonly [string, string]>> = [];
	for (let rotation = 0; rotation < others.length; rotation++) {
		const circle = [fixed!, ...others.slice(rotation), ...others.slice(0, rotation)];
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
	const firstLeg = listPairings(clubs).map((pairs, rotation) => rotation % 2 === 0 ? pairs : pairs.map(([home, away]) => [away, home] as const));
	const secondLeg = firstLeg.map(pairs => pairs.map(([home, away]) => [away, home] as const));
	return {association, rounds: [...firstLeg, ...secondLeg].map(pairs => placeMatches(pairs, pitches))};
}

/** Reassigns the pitches of a round without the lost pitch; the pairings stay the same. */
export function buildRedraw({association, round, pitches, lostPitch}: RedrawRequest): RedrawnRound {
	const remainingPitches = pitches.filter(pitch => pitch !== lostPitch);
	return {association, round: placeMatches(round.map(({home, away}) => [home, away] as const), remainingPitches)};
}

/**
 * Assigns a referee of a neutral club to each match; no referee gets two matches at one kick-off.
 *
 * @throws {RangeError} if no referee is available for a match.
 */
export function buildPublication({association, round, referees}: PublicationRequest): Publication {
	const usedSlots = new Set<string>();
	const assignments = round.map(match => {
		const available = Object.entries(referees).find(([name, club]) => club !== match.home && club !== match.away && !usedSlots.has(`${name} ${match.kickOff}`));
		if (available === undefined) {
			throw new RangeError(`no referee is available for ${match.home} against ${match.away}`);
		}

		usedSlots.add(`${available[0]} ${match.kickOff}`);
		return {match, referee: available[0]};
	});
	return {association, assignments};
}
