/**
 * Checks the responses of the league services independently of the code that builds them.
 */
import {
	type Publication, type PublicationRequest, type RedrawRequest, type RedrawnRound, type Round, type Season, type SeasonRequest,
} from './league-services.js';

function findRoundFaults(round: Round): string[] {
	const faults: string[] = [];
	const clubs = round.flatMap(match => [match.home, match.away]);
	if (new Set(clubs).size !== clubs.length) {
		faults.push('a club plays twice in a round');
	}

	const pitchSlots = round.map(match => `${match.pitch}@${match.kickOff}`);
	if (new Set(pitchSlots).size !== pitchSlots.length) {
		faults.push('two matches use the same pitch at the same kick-off');
	}

	return faults;
}

/** Lists the faults of a season: each ordered pair of clubs must meet exactly once, and no club may play twice in a round. */
export function findSeasonFaults(request: SeasonRequest, season: Season): string[] {
	const faults = season.rounds.flatMap(round => findRoundFaults(round));
	const matchCounts = new Map<string, number>();
	for (const {home, away} of season.rounds.flat()) {
		matchCounts.set(`${home}>${away}`, (matchCounts.get(`${home}>${away}`) ?? 0) + 1);
	}

	for (const home of request.clubs) {
		for (const away of request.clubs) {
			const expected = home === away ? 0 : 1;
			const count = matchCounts.get(`${home}>${away}`) ?? 0;
			if (count !== expected) {
				faults.push(`${home} meets ${away} at home ${count} times`);
			}
		}
	}

	if (season.association !== request.association) {
		faults.push(`the response is for ${season.association}, not ${request.association}`);
	}

	return faults;
}

/** Lists the faults of a redraw: the pairings must stay the same, and none may use the lost pitch. */
export function findRedrawFaults(request: RedrawRequest, response: RedrawnRound): string[] {
	const faults = findRoundFaults(response.round);
	const formatPairings = (round: Round): string => round.map(match => `${match.home}>${match.away}`).toSorted().join(' ');
	if (formatPairings(request.round) !== formatPairings(response.round)) {
		faults.push('the pairings changed');
	}

	if (response.round.some(match => match.pitch === request.lostPitch)) {
		faults.push(`a match uses the lost pitch ${request.lostPitch}`);
	}

	if (response.association !== request.association) {
		faults.push(`the response is for ${response.association}, not ${request.association}`);
	}

	return faults;
}

/** Lists the faults of a publication: each match needs a neutral referee, and no referee may have two matches at one kick-off. */
export function findPublicationFaults(request: PublicationRequest, response: Publication): string[] {
	const faults: string[] = [];
	const refereeSlots = response.assignments.map(({match, referee}) => `${referee}@${match.kickOff}`);
	if (new Set(refereeSlots).size !== refereeSlots.length) {
		faults.push('a referee has two matches at one kick-off');
	}

	if (response.assignments.length !== request.round.length) {
		faults.push(`${response.assignments.length} of ${request.round.length} matches have a referee`);
	}

	for (const {match, referee} of response.assignments) {
		const club = request.referees[referee];
		if (club === undefined || club === match.home || club === match.away) {
			faults.push(`referee ${referee} is not neutral in ${match.home} against ${match.away}`);
		}
	}

	if (response.association !== request.association) {
		faults.push(`the response is for ${response.association}, not ${request.association}`);
	}

	return faults;
}
