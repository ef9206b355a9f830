/**
 * Spread of a pool's VMs over failure domains.
 */
import {countBy, type FailureDomain} from './budgets.js';

/** Numbers of failure domains in the fleet. */
export type DomainCounts = {readonly zones: number; readonly racks: number};

function computeExcessOverEven(counts: ReadonlyMap<string, number>, size: number, domains: number): number {
	const even = Math.ceil(size / Math.max(1, domains));
	return Math.max(0, ...counts.values()) - Math.min(even, size);
}

/**
 * Computes by how many VMs the fullest zone and the fullest rack exceed an even spread; 0 means even.
 */
export function computeSkew(vms: readonly FailureDomain[], domains: DomainCounts): {readonly zone: number; readonly rack: number} {
	return {
		zone: computeExcessOverEven(countBy(vms, vm => vm.zone), vms.length, domains.zones),
		rack: computeExcessOverEven(countBy(vms, vm => vm.rack), vms.length, domains.racks),
	};
}

/** Counts the zones and racks of a fleet. */
export function countDomains(vms: Iterable<FailureDomain>): DomainCounts {
	const zones = new Set<string>();
	const racks = new Set<string>();
	for (const {zone, rack} of vms) {
		zones.add(zone);
		racks.add(rack);
	}

	return {zones: zones.size, racks: racks.size};
}

/** Larger of the two pools' changes in skew when one VM moves; negative improves the spread. */
export type SkewChange = {readonly zone: number; readonly rack: number};

/** Computes how the skew of two pools changes when `vm` moves from one to the other. */
export function computeSkewChange(vm: FailureDomain, from: readonly FailureDomain[], to: readonly FailureDomain[], domains: DomainCounts): SkewChange {
	const [fromBefore, toBefore] = [computeSkew(from, domains), computeSkew(to, domains)];
	const fromAfter = computeSkew(from.filter(member => member !== vm), domains);
	const toAfter = computeSkew([...to, vm], domains);
	return {
		zone: Math.max(fromAfter.zone - fromBefore.zone, toAfter.zone - toBefore.zone),
		rack: Math.max(fromAfter.rack - fromBefore.rack, toAfter.rack - toBefore.rack),
	};
}

/** Picks the candidate with the best skew change, zones before racks; `undefined` if each worsens a pool's spread over zones. */
export function pickVmKeepingSpread<T extends FailureDomain>(candidates: readonly T[], from: readonly FailureDomain[], to: readonly FailureDomain[], domains: DomainCounts): T | undefined {
	const ranked = candidates
		.map(vm => ({vm, change: computeSkewChange(vm, from, to, domains)}))
		.filter(({change}) => change.zone <= 0)
		.toSorted((a, b) => (a.change.zone - b.change.zone) || (a.change.rack - b.change.rack));
	return ranked[0]?.vm;
}

/** Counts how many of `candidates`, up to `limit`, can move in sequence without worsening a pool's spread over zones. */
export function countVmsKeepingSpread<T extends FailureDomain>(candidates: readonly T[], from: readonly FailureDomain[], to: readonly FailureDomain[], domains: DomainCounts, limit: number): number {
	let [remaining, source, target] = [candidates, from, to];
	for (let count = 0; count < limit; count++) {
		const vm = pickVmKeepingSpread(remaining, source, target, domains);
		if (vm === undefined) {
			return count;
		}

		remaining = remaining.filter(member => member !== vm);
		source = source.filter(member => member !== vm);
		target = [...target, vm];
	}

	return limit;
}
