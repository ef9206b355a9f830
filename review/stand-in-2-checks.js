/**
 * Checks of rules on what workers and the control of machines see.
 */
import {bounds} from './stand-in-2-deployments.js';
import {computePercent} from './stand-in-2-workers.js';

const atWork = 100;

/** Follows the disruption budgets of steps with `mayMiss` (rule AVAIL). */
export class BudgetCheck {
	static create(deployment) {
		return new BudgetCheck(deployment);
	}

	violations = [];
	#deployment;
	/** Steps by ID.K.STEP, with their budgets and numbers of tasks. */
	#steps = new Map();
	/** Tasks that an order has ended and that have not been at work since. */
	#evicted = new Set();
	/** Time at which each task was last at work. */
	#workedMs = new Map();
	#timer;

	constructor(deployment) {
		this.#deployment = deployment;
		deployment.cloud.onOrder = (machine, order) => {
			this.#checkOrder(machine, order);
		};

		this.#timer = setInterval(() => {
			this.#observe();
		}, 20);
	}

	addStep(step, {count, mayMiss}) {
		this.#steps.set(step, {count, mayMiss});
	}

	/** Reports whether all tasks of a step are at work. */
	isAtWork(step) {
		return this.#listAtWork(step).size === this.#steps.get(step).count;
	}

	close() {
		clearInterval(this.#timer);
	}

	#listAtWork(step) {
		return new Map(this.#deployment.ledger.listActive(step).filter(run => computePercent(run) === atWork).map(run => [run.task, run]));
	}

	#observe() {
		for (const step of this.#steps.keys()) {
			for (const task of this.#listAtWork(step).keys()) {
				this.#evicted.delete(task);
				this.#workedMs.set(task, this.#deployment.record.nowMs);
			}
		}
	}

	#checkOrder({machine, worker}, order) {
		this.#observe();
		const {record} = this.#deployment;
		for (const [step, {count, mayMiss}] of this.#steps) {
			const working = this.#listAtWork(step);
			for (const run of [...working.values()].filter(other => other.worker === worker)) {
				const others = Array.from({length: count}, (_, index) => `${step}.${index}`).filter(task => task !== run.task);
				const away = others.filter(task => this.#evicted.has(task) || (!working.has(task) && record.nowMs - (this.#workedMs.get(task) ?? 0) >= bounds.noticeMs));
				this.#evicted.add(run.task);
				if (away.length >= mayMiss) {
					const text = `AVAIL: the ${order} of ${machine} ends ${run.task}, which is at work, while ${away.length} others of its step are away and ${mayMiss} may be: ${away.join(' ')}`;
					this.violations.push(text);
					record.add(text);
				}
			}
		}
	}
}
