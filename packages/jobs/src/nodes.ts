/**
 * Workers as placement nodes, with total and free capacity and location.
 */
import {type TaskResources, type VmRecord} from '@tamarackwind/clients';
import {type JobSpec} from './schemas.js';

/** A worker with its total and free capacity. */
export type PlacementNode = {
	readonly vmId: string;
	readonly pool: string | undefined;
	readonly zone: string;
	readonly rack: string;
	readonly capacity: TaskResources;
	free: TaskResources;
};

/** Requirements of a job for a node. */
export type NodeRequest = {
	readonly size: TaskResources;
	readonly spec: Pick<JobSpec, 'pool' | 'zones' | 'racks'>;
	/** Workers that the job must not run on. */
	readonly excludedVms: ReadonlySet<string>;
};

/** Creates a node for a worker without jobs. */
export function createPlacementNode(vm: VmRecord): PlacementNode {
	const capacity = {cores: vm.cores, memoryMb: vm.memoryMb, accelerators: vm.accelerators};
	return {
		vmId: vm.vmId, pool: vm.pool, zone: vm.zone, rack: vm.rack, capacity, free: capacity,
	};
}

/** Reports whether `size` is at most `limit` in every resource. */
export function isWithin(size: TaskResources, limit: TaskResources): boolean {
	return size.cores <= limit.cores && size.memoryMb <= limit.memoryMb && size.accelerators <= limit.accelerators;
}

export function addResources(a: TaskResources, b: TaskResources): TaskResources {
	return {cores: a.cores + b.cores, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators};
}

export function diffResources(a: TaskResources, b: TaskResources): TaskResources {
	return {cores: a.cores - b.cores, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators};
}

/** Sums resources. */
export function sumResources(items: readonly TaskResources[]): TaskResources {
	let sum: TaskResources = {cores: 0, memoryMb: 0, accelerators: 0};
	for (const item of items) {
		sum = addResources(sum, item);
	}

	return sum;
}

/** Computes the largest fraction of any resource of `total` that `used` takes. */
export function computeDominantShare(used: TaskResources, total: TaskResources): number {
	const divide = (part: number, all: number): number => part <= 0 ? 0 : part / Math.max(all, Number.EPSILON);
	return Math.max(divide(used.cores, total.cores), divide(used.memoryMb, total.memoryMb), divide(used.accelerators, total.accelerators));
}

/** Reports whether the constraints of a job, other than its size, allow a node. */
export function isAllowed({spec, excludedVms}: NodeRequest, node: PlacementNode): boolean {
	return (spec.pool === undefined || spec.pool === node.pool)
		&& (spec.zones === undefined || spec.zones.includes(node.zone))
		&& (spec.racks === undefined || spec.racks.includes(node.rack))
		&& !excludedVms.has(node.vmId);
}

/** Explains why no node could hold a job even if it had no other jobs; returns `undefined` if one could. */
export function explainUnplaceable(request: NodeRequest, nodes: readonly PlacementNode[]): string | undefined {
	const allowed = nodes.filter(node => isAllowed(request, node));
	if (allowed.length === 0) {
		return 'no worker lies in the pool, zones and racks that the job names';
	}

	if (allowed.some(node => isWithin(request.size, node.capacity))) {
		return undefined;
	}

	const {cores, memoryMb, accelerators} = request.size;
	return `no worker has ${cores} cores, ${memoryMb} MB and ${accelerators} accelerators`;
}
