/**
 * `npm run histories [-- SEED [RUNS [accounts|disrupted]]]`: simulates random histories of the emulated system and prints those that violate a
 * guarantee; with `accounts`, jobs belong to client accounts with caps, which change; with `disrupted`, callers leave and cancel their jobs, registry
 * entries of workers expire, waves are wide and VMs that are down give no answer.
 */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {
	accountFaultKinds, faultKinds, furtherFaultKinds, playHistory, registryFaultKinds,
} from '../packages/testing/dist/src/index.js';

const maxSeed = 2 ** 31;
const defaultRuns = 100;
const [first = randomInt(maxSeed), runs = defaultRuns] = process.argv.slice(2).map(Number);
const hasAccounts = process.argv[4] === 'accounts';
const isDisrupted = process.argv[4] === 'disrupted';
const kinds = [...faultKinds, ...furtherFaultKinds, ...(hasAccounts ? accountFaultKinds : []), ...(isDisrupted ? [...registryFaultKinds, ...registryFaultKinds, ...registryFaultKinds] : [])];
const disruptions = isDisrupted
	? {
		faultCount: 8, abandonedShare: 0.3, isSilentWhenDown: true,
	}
	: {};
const faults = {};
let broken = 0;
for (let seed = first; seed < first + runs; seed++) {
	const history = await playHistory({
		seed, kinds, hasAccounts, ...disruptions,
	});
	for (const [kind, count] of Object.entries(history.faults)) {
		faults[kind] = (faults[kind] ?? 0) + count;
	}

	if (history.violations.length > 0) {
		broken++;
		console.log(`seed ${seed}: ${JSON.stringify(history.faults)}\n  ${history.violations.join('\n  ')}`);
	}
}

console.log(`${runs} histories from seed ${first}, ${broken} broken; faults met: ${JSON.stringify(faults)}`);
process.exitCode = broken === 0 ? 0 : 1;
