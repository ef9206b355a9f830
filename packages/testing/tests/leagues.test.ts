import test from 'ava';
import {
	buildPublication, buildRedraw, buildSeason, findPublicationFaults, findRedrawFaults, findSeasonFaults, findCellFaults, findRefitFaults, runCell, runRefit,
} from '../src/index.js';

const pitches = ['p1', 'p2', 'p3'];

for (const count of [2, 3, 7, 12, 17]) {
	test(`a season, a redraw and a publication of ${count} clubs pass the independent checks`, t => {
		const clubs = Array.from({length: count}, (_, index) => `club-${index}`);
		const request = {association: 'riga', clubs, pitches};
		const season = buildSeason(request);
		t.deepEqual(findSeasonFaults(request, season), []);
		for (const round of season.rounds) {
			const redraw = {
				association: 'riga', round, pitches, lostPitch: 'p2',
			};
			t.deepEqual(findRedrawFaults(redraw, buildRedraw(redraw)), []);
			const publication = {association: 'riga', round, referees: Object.fromEntries(Array.from({length: 8}, (_, index) => [`referee-${index}`, `other-${index}`]))};
			t.deepEqual(findPublicationFaults(publication, buildPublication(publication)), []);
		}
	});
}

test('the season check finds a match that is missing or appears twice', t => {
	const request = {association: 'riga', clubs: ['a', 'b', 'c', 'd'], pitches};
	const season = buildSeason(request);
	t.not(findSeasonFaults(request, {...season, rounds: season.rounds.slice(1)}).length, 0);
	t.not(findSeasonFaults(request, {...season, rounds: [...season.rounds, season.rounds[0]!]}).length, 0);
});

test('the notebook checks accept a correct result and find a wrong one', t => {
	const cell = {
		analyst: 'anna', exposures: [1, 2, 3], seed: 1, draws: 200,
	};
	t.deepEqual(findCellFaults(cell, runCell(cell)), []);
	t.not(findCellFaults(cell, {...runCell(cell), meanLoss: 7}).length, 0);
	const refit = {analyst: 'anna', points: [[0, 1], [1, 3.5], [2, 4], [3, 7]] as const};
	t.deepEqual(findRefitFaults(refit, runRefit(refit)), []);
	t.not(findRefitFaults(refit, {...runRefit(refit), slope: 0}).length, 0);
});
