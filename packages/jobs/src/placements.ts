/**
 * Ways of choosing the worker for a job.
 */
import {
	computeDominantShare, diffResources, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';

/** Chooses a worker for a job. */
export abstract class Placement {
	/** Name by which benches and explanations call it. */
	abstract readonly name: string;

	/** Chooses among the nodes with room; `undefined` when none has any. */
	chooseNode(request: NodeRequest, nodes: readonly PlacementNode[]): PlacementNode | undefined {
		let best: PlacementNode | undefined;
		let bestScore = Infinity;
		for (const node of nodes) {
			if (!isWithin(request.size, node.free) || !isAllowed(request, node)) {
				continue;
			}

			const score = this.rankNode(request, node);
			if (score < bestScore) {
				best = node;
				bestScore = score;
			}
		}

		return best;
	}

	/** Ranks a node with room; the lowest wins, the first of equals. */
	protected abstract rankNode(request: NodeRequest, node: PlacementNode): number;
}

/** The naive way: the first node with room. */
export class FirstFitPlacement extends Placement {
	static create(): FirstFitPlacement {
		return new FirstFitPlacement();
	}

	override readonly name = 'first fit';

	protected override rankNode(): number {
		return 0;
	}
}

/** The node that is left with the smallest largest hole; keeps empty nodes for big jobs. */
export class BestFitPlacement extends Placement {
	static create(): BestFitPlacement {
		return new BestFitPlacement();
	}

	override readonly name = 'best fit';

	protected override rankNode({size}: NodeRequest, node: PlacementNode): number {
		const left = diffResources(node.free, size);
		const wastesAccelerators = size.accelerators === 0 && node.capacity.accelerators > 0 ? 1 : 0;
		return wastesAccelerators + computeDominantShare(left, node.capacity);
	}
}

/** The node that is left least loaded; overruns then hurt the fewest others. */
export class SpreadPlacement extends Placement {
	static create(): SpreadPlacement {
		return new SpreadPlacement();
	}

	override readonly name = 'spread';

	protected override rankNode({size}: NodeRequest, node: PlacementNode): number {
		const left = diffResources(node.free, size);
		return computeDominantShare(diffResources(node.capacity, left), node.capacity);
	}
}
