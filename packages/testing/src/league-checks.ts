/**
 * Checks of league answers that share no code with what built them.
 */
import {
	type Publication, type PublicationRequest, type RedrawRequest, type RedrawnRound, type Round, type Season, type SeasonRequest,
} from './leagues.js';

function findRoundFaults(round: Round): string[] {
	const faults: string[] = [];
	const clubs = round.flatMap(match => [match.home, match.away]);
	if (new Set(clubs).size !== clubs.length) {
		faults.push('a club plays twice in a round');
	}

	const places = round.map(match => `${match.pitch}@${match.kickOff}`);
	if (new Set(places).size !== places.length) {
		faults.push('two matches share a pitch and a kick-off');
	}

	return faults;
}

/** Lists the faults of a season: each ordered pair of clubs meets exactly once and no club plays twice in a round. */
export function findSeasonFaults(request: SeasonRequest, season: Season): string[] {
	const faults = season.rounds.flatMap(round => findRoundFaults(round));
	const met = new Map<string, number>();
	for (const {home, away} of season.rounds.flat()) {
		met.set(`${home}>${away}`, (met.get(`${home}>${away}`) ?? 0) + 1);
	}

	for (const home of request.clubs) {
		for (const away of request.clubs) {
			const expected = home === away ? 0 : 1;
			const count = met.get(`${home}>${away}`) ?? 0;
			if (count !== expected) {
				faults.push(`${home} meets ${away} at home ${count} times`);
			}
		}
	}

	if (season.association !== request.association) {
		faults.push(`the answer is for ${season.association}, not ${request.association}`);
	}

	return faults;
}

/** Lists the faults of a redraw: the same pairings, none of them on the lost pitch. */
export function findRedrawFaults(request: RedrawRequest, answer: RedrawnRound): string[] {
	const faults = findRoundFaults(answer.round);
	const list = (round: Round): string => round.map(match => `${match.home}>${match.away}`).toSorted().join(' ');
	if (list(request.round) !== list(answer.round)) {
		faults.push('the pairings changed');
	}

	if (answer.round.some(match => match.pitch === request.lostPitch)) {
		faults.push(`a match stands on the lost pitch ${request.lostPitch}`);
	}

	if (answer.association !== request.association) {
		faults.push(`the answer is for ${answer.association}, not ${request.association}`);
	}

	return faults;
}

/** Lists the faults of a publication: one neutral referee for each match, none of them twice at one kick-off. */
export function findPublicationFaults(request: PublicationRequest, answer: Publication): string[] {
	const faults: string[] = [];
	const duties = answer.assignments.map(({match, referee}) => `${referee}@${match.kickOff}`);
	if (new Set(duties).size !== duties.length) {
		faults.push('a referee has two matches at one kick-off');
	}

	if (answer.assignments.length !== request.round.length) {
		faults.push(`${answer.assignments.length} of ${request.round.length} matches have a referee`);
	}

	for (const {match, referee} of answer.assignments) {
		const club = request.referees[referee];
		if (club === undefined || club === match.home || club === match.away) {
			faults.push(`referee ${referee} is not neutral in ${match.home} against ${match.away}`);
		}
	}

	if (answer.association !== request.association) {
		faults.push(`the answer is for ${answer.association}, not ${request.association}`);
	}

	return faults;
}
