/**
 * Placement strategies, which choose the worker for a job.
 */
import {
	computeDominantShare, diffResources, isAllowed, isWithin, type NodeRequest, type PlacementNode,
} from './nodes.js';

/** Strategy that chooses a worker for a job. */
export abstract class PlacementStrategy {
	/** Name in benchmarks and explanations. */
	abstract readonly name: string;

	/** Chooses among the nodes with enough free capacity; returns `undefined` if there is none. */
	chooseNode(request: NodeRequest, nodes: readonly PlacementNode[]): PlacementNode | undefined {
		let best: PlacementNode | undefined;
		let bestScore = Infinity;
		for (const node of nodes) {
			if (!isWithin(request.size, node.free) || !isAllowed(request, node)) {
				continue;
			}

			const score = this.computeScore(request, node);
			if (score < bestScore) {
				best = node;
				bestScore = score;
			}
		}

		return best;
	}

	/** Returns the score of a node with enough free capacity; the lowest score wins, and the first node in a tie. */
	protected abstract computeScore(request: NodeRequest, node: PlacementNode): number;
}

/** Chooses the first node with enough free capacity. */
export class FirstFitPlacement extends PlacementStrategy {
	static create(): FirstFitPlacement {
		return new FirstFitPlacement();
	}

	override readonly name = 'first fit';

	protected override computeScore(): number {
		return 0;
	}
}

/** Chooses the node with the smallest remaining dominant share, which keeps empty nodes free for large jobs. */
export class BestFitPlacement extends PlacementStrategy {
	static create(): BestFitPlacement {
		return new BestFitPlacement();
	}

	override readonly name = 'best fit';

	protected override computeScore({size}: NodeRequest, node: PlacementNode): number {
		const remaining = diffResources(node.free, size);
		const wastesAccelerators = size.accelerators === 0 && node.capacity.accelerators > 0 ? 1 : 0;
		return wastesAccelerators + computeDominantShare(remaining, node.capacity);
	}
}

/** Chooses the node with the lowest load after placement, so that overruns affect few other jobs. */
export class SpreadPlacement extends PlacementStrategy {
	static create(): SpreadPlacement {
		return new SpreadPlacement();
	}

	override readonly name = 'spread';

	protected override computeScore({size}: NodeRequest, node: PlacementNode): number {
		const remaining = diffResources(node.free, size);
		return computeDominantShare(diffResources(node.capacity, remaining), node.capacity);
	}
}
