import test from 'ava';
import {
	applyListingChange, type VmListing, type VmListingChange, type VmRecord,
} from '../src/index.js';

function createVm(vmId: string, incarnation = '1'): VmRecord {
	return {
		vmId, incarnation, kind: 'worker', address: '10.0.0.1', port: 8000, region: 'r', zone: 'z', rack: 'k', state: 'live', cores: 1, memoryMb: 1, accelerators: 0,
	};
}

const known: VmListing = {generation: 4, vms: [createVm('vm-1'), createVm('vm-2')]};

const cases: Array<{title: string; change: VmListingChange; expected: string[] | undefined}> = [
	{title: 'a full listing replaces the previous one', change: {generation: 9, vms: [createVm('vm-3')]}, expected: ['vm-3/1']},
	{
		title: 'a change adds, replaces and removes VMs', change: {
			generation: 5, since: 4, vms: [createVm('vm-2', '2'), createVm('vm-3')], removed: ['vm-1'],
		}, expected: ['vm-2/2', 'vm-3/1'],
	},
	{
		title: 'a VM that was removed and added again is listed', change: {
			generation: 6, since: 4, vms: [createVm('vm-1', '2')], removed: ['vm-1'],
		}, expected: ['vm-1/2', 'vm-2/1'],
	},
	{title: 'a change relative to another generation is not applied', change: {generation: 5, since: 3, vms: []}, expected: undefined},
];

for (const {title, change, expected} of cases) {
	test(title, t => {
		const listing = applyListingChange(known, change);
		t.deepEqual(listing?.vms.map(vm => `${vm.vmId}/${vm.incarnation}`).toSorted(), expected);
	});
}

test('an empty change returns the same listing', t => {
	t.is(applyListingChange(known, {generation: 4, since: 4, vms: []}), known);
});
