/**
 * Availability budgets, which limit how many VMs of a pool may be out of service at once, and in how many zones and racks.
 */
import {type Budget} from '@tamarackwind/settings';

/** Failure domain of a VM. */
export type FailureDomain = {readonly zone: string; readonly rack: string};

/** Computes how many VMs of a pool of `size` may be out of service at once; percentages round down. */
export function computeMaxUnavailable({maxUnavailable}: Pick<Budget, 'maxUnavailable'>, size: number): number {
	return typeof maxUnavailable === 'number' ? maxUnavailable : Math.floor(Number.parseInt(maxUnavailable, 10) * size / 100);
}

/** Counts values by key. */
export function countBy<T>(items: Iterable<T>, readKey: (item: T) => string): Map<string, number> {
	const counts = new Map<string, number>();
	for (const item of items) {
		const key = readKey(item);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return counts;
}

/** Reports whether a pool of `size` VMs stays within its budget while `unavailableVms` are out of service. */
export function isWithinBudget(budget: Budget, size: number, unavailableVms: readonly FailureDomain[]): boolean {
	if (unavailableVms.length > computeMaxUnavailable(budget, size)) {
		return false;
	}

	const zones = new Set(unavailableVms.map(vm => vm.zone));
	const racks = countBy(unavailableVms, vm => vm.rack);
	return zones.size <= budget.maxZones && [...racks.values()].every(count => count <= budget.maxPerRack);
}
