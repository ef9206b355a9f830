/**
 * The fleet at one turn: nodes with what their runs take, and the teams' books.
 */
import {type TaskResources, type VmRecord} from '@tamarackwind/clients';
import {
	createNode, diffResources, sumResources, type PlacementNode,
} from './nodes.js';
import {readLoad} from './overruns.js';
import {type Run} from './runs.js';
import {groupByKey} from './groups.js';

export type FleetSnapshotOptions = {
	readonly workers: readonly VmRecord[];
	/** Workers that get no jobs for now. */
	readonly setAside: ReadonlySet<string>;
	readonly runs: readonly Run[];
	readonly quotas: ReadonlyMap<string, TaskResources>;
};

/** What one turn plans on. */
export class FleetSnapshot {
	static create(options: FleetSnapshotOptions): FleetSnapshot {
		return new FleetSnapshot(options);
	}

	/** Every worker, empty; tells what could fit at all. */
	readonly allNodes: readonly PlacementNode[];
	/** Workers that may get jobs, with what is free. */
	readonly openNodes: readonly PlacementNode[];
	readonly capacity: TaskResources;
	readonly quotas: ReadonlyMap<string, TaskResources>;

	private constructor({workers, setAside, runs, quotas}: FleetSnapshotOptions) {
		const runsByVm = groupByKey(runs, run => run.task.vmId);
		this.quotas = quotas;
		this.allNodes = workers.map(vm => createNode(vm));
		this.openNodes = workers
			.filter(vm => vm.state === 'live' && !setAside.has(vm.vmId))
			.map(vm => {
				const node = createNode(vm);
				const load = sumResources((runsByVm.get(vm.vmId) ?? []).map(run => readLoad(run)));
				node.free = diffResources(node.capacity, load);
				return node;
			});
		this.capacity = sumResources(this.allNodes.map(node => node.capacity));
	}

	/** Tells whether no worker is known. */
	get isEmpty(): boolean {
		return this.allNodes.length === 0;
	}
}
