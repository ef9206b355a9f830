/**
 * Snapshot of the fleet for one scheduling turn: nodes with their free capacity, and the quotas of teams.
 */
import {type TaskResources, type VmRecord} from '@tamarackwind/clients';
import {
	createPlacementNode, diffResources, sumResources, type PlacementNode,
} from './nodes.js';
import {readLoad} from './overruns.js';
import {type Run} from './run-monitors.js';
import {groupByKey} from './groups.js';

export type PlacementSnapshotOptions = {
	readonly workers: readonly VmRecord[];
	/** Workers that currently receive no jobs. */
	readonly setAside: ReadonlySet<string>;
	readonly runs: readonly Run[];
	readonly quotas: ReadonlyMap<string, TaskResources>;
};

/** Nodes and quotas that one turn uses for planning. */
export class PlacementSnapshot {
	static create(options: PlacementSnapshotOptions): PlacementSnapshot {
		return new PlacementSnapshot(options);
	}

	/** Nodes of all workers with their whole capacity free, to check whether a job can fit anywhere. */
	readonly allNodes: readonly PlacementNode[];
	/** Nodes of the workers that accept jobs, with their free capacity. */
	readonly openNodes: readonly PlacementNode[];
	readonly capacity: TaskResources;
	readonly quotas: ReadonlyMap<string, TaskResources>;

	private constructor({workers, setAside, runs, quotas}: PlacementSnapshotOptions) {
		const runsByVm = groupByKey(runs, run => run.task.vmId);
		this.quotas = quotas;
		this.allNodes = workers.map(vm => createPlacementNode(vm));
		this.openNodes = workers
			.filter(vm => vm.state === 'live' && !setAside.has(vm.vmId))
			.map(vm => {
				const node = createPlacementNode(vm);
				const load = sumResources((runsByVm.get(vm.vmId) ?? []).map(run => readLoad(run)));
				node.free = diffResources(node.capacity, load);
				return node;
			});
		this.capacity = sumResources(this.allNodes.map(node => node.capacity));
	}

	/** Whether no worker is known. */
	get isEmpty(): boolean {
		return this.allNodes.length === 0;
	}
}
