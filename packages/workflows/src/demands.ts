/**
 * What the tasks of a step ask of a worker.
 */
import {
	getReservation, isWithin, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';

export type DemandOptions = {
	/** Share of a worker's suspects; 0, the default, for tasks that are none. */
	readonly suspectShare?: number;
	/** Number of tasks that must be placed together; 1 by default. */
	readonly count?: number;
};

/** Demand of one task, or of a gang. */
export class Demand {
	static create(spec: StepSpec, options: DemandOptions = {}): Demand {
		return new Demand(spec, options);
	}

	readonly requirement: string | undefined;
	readonly resources: Resources;
	readonly suspectShare: number;
	readonly count: number;
	/** Names the demand: equal for equal demands. */
	readonly key: string;

	private constructor(spec: StepSpec, {suspectShare = 0, count = 1}: DemandOptions) {
		this.requirement = spec.requirement;
		this.resources = getReservation(spec);
		this.suspectShare = suspectShare;
		this.count = count;
		const {cpu, memory, gpu} = this.resources;
		this.key = `${cpu} ${memory} ${gpu} ${suspectShare} ${count}`;
	}

	/** Reports whether the demand asks for no more than another one with the same requirement. */
	isAtMost(other: Demand): boolean {
		return isWithin(this.resources, other.resources) && this.suspectShare <= other.suspectShare && this.count <= other.count;
	}
}
