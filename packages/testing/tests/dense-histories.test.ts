import test from 'ava';
import {
	accountFaultKinds, faultKinds, furtherFaultKinds, playHistory, type FaultKind, type HistoryOptions,
} from '../src/index.js';

type Density = Pick<HistoryOptions, 'jobs' | 'faultCount' | 'kinds' | 'hasAccounts'>;

const kinds: readonly FaultKind[] = [...faultKinds, ...furtherFaultKinds];
const dense: Density = {jobs: 48, faultCount: 10, kinds};
const withAccounts: Density = {...dense, kinds: [...kinds, ...accountFaultKinds], hasAccounts: true};

/** Seeds that failed once, by the failure that they guard against (issue 50). */
const cases: ReadonlyArray<readonly [string, Density, readonly number[]]> = [
	['idle VMs of another pool are held back while jobs wait', withAccounts, [400_009, 400_507, 600_380]],
	['idle VMs of another pool are held back while jobs wait', dense, [300_497]],
	['idle VMs of another pool are held back while a long-running task waits', withAccounts, [400_085, 400_303, 400_413, 400_601, 400_684, 400_764, 500_108, 600_236, 600_279, 600_530, 600_643, 600_674, 700_018]],
	['idle VMs of another pool are held back while a long-running task waits', dense, [200_306, 200_550, 200_570, 300_482, 400_325, 400_413, 400_416, 400_454, 400_553, 500_317, 500_565]],
	['a late start of a cancelled job is not stopped', withAccounts, [400_251, 600_047, 600_262, 600_397, 700_035]],
	['a late start of a cancelled job is not stopped', dense, [100_343, 400_359]],
	['two holders order one VM within its lease', withAccounts, [400_058, 400_255, 400_711, 600_706]],
	['two holders order one VM within its lease', dense, [200_372, 200_376, 200_540, 300_430, 300_503, 600_358, 600_361]],
	['two holders order one VM within its lease', {...withAccounts, jobs: 24, faultCount: 6}, [200_472]],
	['an order leaves too few tasks of a step', {...withAccounts, jobs: 24, faultCount: 6}, [100_562]],
	['an order leaves too few tasks of a step', dense, [100_365]],
	['a start that exceeds the cap of its account begins before others that were allowed earlier', withAccounts, [810_376, 810_459]],
	['a start that exceeds the cap of its account begins before others that were allowed earlier', {...withAccounts, jobs: 24, faultCount: 6}, [830_203]],
	['a history without an entry is not judged', withAccounts, [400_018, 400_379]],
];

for (const [name, density, seeds] of cases) {
	for (const seed of seeds) {
		test(`dense history ${seed}${density.hasAccounts ? ' with accounts' : ''}: ${name}`, async t => {
			const {violations} = await playHistory({seed, ...density});
			t.deepEqual(violations, []);
		});
	}
}
