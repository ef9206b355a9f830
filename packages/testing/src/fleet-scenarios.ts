/**
 * Random sequences of operators' actions and faults for simulations of the fleet.
 */
import {
	VerdictError, type MoveId, type OperatorId, type PoolName, type RandomSource, type VmId, type WaveId,
} from '@tamarackwind/core';
import {
	computeMaxUnavailable, fleetTables, isMoveActive, isWaveActive, type MoveRow, type VmRow, type WaveRow,
} from '@tamarackwind/fleet';
import {resolveSettings, type ResolvedPool, type SettingsTree} from '@tamarackwind/settings';
import {type VmRecord} from '@tamarackwind/clients';
import {createWorkerRecord} from './clusters.js';
import {FleetSimulation, type FleetSimulationOptions} from './fleet-simulations.js';

const operator = 'operator-1' as OperatorId;
const poolNames = ['north', 'south', 'spare'] as const;
const vmsPerPool = 8;
const maxLostVms = 2;

/** Pools of a scenario: two of work and a spare one. */
export function createScenarioPools(): ResolvedPool[] {
	const tree: SettingsTree = {
		deployments: {
			fixture: {
				pool: {budget: {maxUnavailable: 2, maxZones: 1, maxPerRack: 2}},
				pools: {north: {services: {}}, south: {services: {}, budget: {maxUnavailable: '25%', maxZones: 2}}, spare: {services: {}, isSpare: true}},
			},
		},
	};
	return [...resolveSettings(tree, 'fixture', 1).pools.values()];
}

/** VMs of a scenario. */
export function createScenarioRecords(): VmRecord[] {
	return poolNames.flatMap(pool => Array.from({length: vmsPerPool}, (_, index) => createWorkerRecord(pool, index, 1)));
}

/** One step of a scenario: an action, and time to pass after it. */
export type ScenarioStep = {
	readonly kind: 'wave' | 'wave-state' | 'move' | 'race' | 'cancel-move' | 'pause' | 'cut' | 'down' | 'slow' | 'lossy' | 'lag' | 'list-down' | 'fail' | 'jump' | 'wait';
	/** Chooses among what the action can apply to. */
	readonly choice: number;
	readonly waitMs: number;
};

/** Kinds of steps. */
export const stepKinds: ReadonlyArray<ScenarioStep['kind']> = [
	'wave', 'wave-state', 'move', 'race', 'cancel-move', 'pause', 'cut', 'down', 'slow', 'lossy', 'lag', 'list-down', 'fail', 'jump', 'wait',
];

export type ScenarioOutcome = {
	readonly violations: readonly string[];
	/** Waves and moves that did not end after the faults had ended. */
	readonly unfinished: readonly string[];
	readonly reboots: number;
	readonly moved: number;
	readonly raceWinners: readonly number[];
};

export type ScenarioOptions = Pick<FleetSimulationOptions, 'without'> & {readonly seed: number; readonly steps: readonly ScenarioStep[]};

class Scenario {
	readonly simulation: FleetSimulation;
	readonly raceWinners: number[] = [];
	readonly #random: RandomSource;
	readonly #pending: Array<Promise<unknown>> = [];
	#ids = 0;

	constructor({seed, without}: ScenarioOptions) {
		this.simulation = FleetSimulation.create({
			seed, without, entries: 3, pools: createScenarioPools(), records: createScenarioRecords(), maxRunMs: seed % 2 === 0 ? 8000 : 2000, requestRate: 0.5,
			chooseComeback: (_record, random) => ({afterMs: 20_000 + (random.readFraction() * 60_000), isLost: random.readFraction() < 0.05}),
		});
		this.#random = this.simulation.random;
	}

	async runStep({kind, choice, waitMs}: ScenarioStep): Promise<void> {
		const {simulation} = this;
		const entry = simulation.entries[choice % simulation.entries.length]!;
		const {faults, vms, clock} = simulation;
		const later = (ms: number, run: () => void): void => {
			void clock.sleep(ms).then(run);
		};

		const faultMs = 1000 + (choice * 60);
		switch (kind) {
			case 'wave': {
				this.#start(entry.declarations.startWave({
					waveId: this.#createId<WaveId>('wave'), selector: {pools: [poolNames[choice % 3]!]}, action: 'reboot', maxNotBack: 1 + (choice % 2), returnTimeoutMs: 120_000, includesHeld: false,
				}, operator));
				break;
			}

			case 'wave-state': {
				const waves = (await simulation.readTable<WaveRow>(fleetTables.waves)).filter(wave => isWaveActive(wave));
				const wave = waves[choice % Math.max(1, waves.length)];
				if (wave !== undefined) {
					this.#start(entry.declarations.setWaveState(wave.waveId, (['pause', 'resume', 'cancel'] as const)[choice % 3]!, operator));
				}

				break;
			}

			case 'move': {
				const [from, to] = choice % 2 === 0 ? ['spare', 'north'] : ['south', 'spare'];
				this.#start(entry.declarations.startMove({
					moveId: this.#createId<MoveId>('move'), from: from as PoolName, to: to as PoolName, count: 1 + (choice % 2),
				}, operator));
				break;
			}

			case 'race': {
				await this.#runRace(choice);
				break;
			}

			case 'cancel-move': {
				const moves = (await simulation.readTable<MoveRow>(fleetTables.moves)).filter(move => isMoveActive(move));
				const move = moves[choice % Math.max(1, moves.length)];
				if (move !== undefined) {
					this.#start(entry.declarations.cancelMove(move.moveId, operator));
				}

				break;
			}

			case 'pause': {
				entry.gate.close();
				later(faultMs, () => {
					entry.gate.open();
				});
				break;
			}

			case 'cut': {
				entry.tables.isCut = true;
				later(faultMs, () => {
					entry.tables.isCut = false;
				});
				break;
			}

			case 'down': {
				faults.isDown = true;
				later(faultMs, () => {
					faults.isDown = false;
				});
				break;
			}

			case 'slow': {
				faults.delayMs = choice * 2;
				later(faultMs, () => {
					faults.delayMs = 0;
				});
				break;
			}

			case 'lossy': {
				faults.lossRate = 0.3;
				later(faultMs, () => {
					faults.lossRate = 0;
				});
				break;
			}

			case 'lag': {
				vms.listLagMs = choice * 20;
				break;
			}

			case 'list-down': {
				vms.isListDown = true;
				later(faultMs, () => {
					vms.isListDown = false;
				});
				break;
			}

			case 'fail': {
				this.#failRack(choice);
				break;
			}

			case 'jump': {
				entry.clock.wallOffsetMs = choice - 500;
				break;
			}

			case 'wait': {
				break;
			}
		}

		await simulation.run(waitMs);
	}

	/** Ends the faults, brings lost VMs back and waits for the waves and moves to end. */
	async finish(): Promise<string[]> {
		const {simulation} = this;
		const {faults, vms, entries} = simulation;
		faults.isDown = false;
		faults.delayMs = 0;
		faults.lossRate = 0;
		vms.isListDown = false;
		vms.listLagMs = 0;
		for (const entry of entries) {
			entry.gate.open();
			entry.tables.isCut = false;
		}

		await this.#resumeWaves();
		let unfinished = await this.#listUnfinished();
		for (let round = 0; round < 60 && unfinished.length > 0; round++) {
			for (const [vmId, vm] of vms.vms) {
				if (!vm.isUp && simulation.clock.readMonotonic() - vm.changedAt > 200_000) {
					vms.recoverVm(vmId);
				}
			}

			await simulation.run(30_000);
			unfinished = await this.#listUnfinished();
		}

		return unfinished;
	}

	async #resumeWaves(): Promise<void> {
		await this.simulation.run(30_000);
		for (const wave of await this.simulation.readTable<WaveRow>(fleetTables.waves)) {
			if (wave.state === 'paused') {
				this.#start(this.simulation.entries[0]!.declarations.setWaveState(wave.waveId, 'resume', operator));
				await this.simulation.run(5000);
			}
		}
	}

	async #listUnfinished(): Promise<string[]> {
		const rows = await this.simulation.readTable<VmRow>(fleetTables.vms);
		const waves = (await this.simulation.readTable<WaveRow>(fleetTables.waves)).filter(wave => isWaveActive(wave) && !this.#isOverBudget(rows));
		const moves = (await this.simulation.readTable<MoveRow>(fleetTables.moves)).filter(move => isMoveActive(move) && move.vmIds.length > 0 && !this.#isOverBudget(rows));
		return [...waves.map(wave => `${wave.waveId} ${wave.state}`), ...moves.map(move => `${move.moveId} ${move.state}`)];
	}

	/** Tells whether a pool has become so small that its budget lets no VM out, so that nothing there can end. */
	#isOverBudget(rows: readonly VmRow[]): boolean {
		return this.simulation.options.pools.some(pool => computeMaxUnavailable(pool.budget, rows.filter(row => row.pool === pool.name).length) === 0);
	}

	/** Two operators move the same VM to different pools through different entries at the same moment. */
	async #runRace(choice: number): Promise<void> {
		const rows = (await this.simulation.readTable<VmRow>(fleetTables.vms)).filter(row => row.reservedBy === undefined && row.work?.kind !== 'move');
		const row = rows[choice % Math.max(1, rows.length)];
		if (row === undefined) {
			return;
		}

		const targets = poolNames.filter(name => name !== row.pool);
		const tries = targets.map(async (to, index) => this.simulation.entries[index]!.declarations.startMove({
			moveId: this.#createId<MoveId>('move'), from: row.pool, to: to as PoolName, vms: [row.vmId], allowsWorseSpread: true,
		}, operator));
		this.#start(Promise.allSettled(tries).then(outcomes => {
			this.raceWinners.push(outcomes.filter(outcome => outcome.status === 'fulfilled').length);
		}));
	}

	/** Takes down VMs of one rack together. */
	#failRack(choice: number): void {
		const {vms} = this.simulation;
		const records = [...vms.vms.values()].map(vm => vm.record);
		const {rack} = records[choice % records.length]!;
		const isLost = choice % 3 === 0;
		for (const record of records.filter(other => other.rack === rack).slice(0, isLost ? maxLostVms : 4)) {
			vms.failVm(record.vmId, {afterMs: 30_000 + (this.#random.readFraction() * 90_000), isLost});
		}
	}

	#createId<Id extends string>(kind: string): Id {
		this.#ids++;
		return `${kind}-${this.#ids}` as Id;
	}

	/** Lets an operator's call go on by itself; refusals are part of the scenario. */
	#start(call: Promise<unknown>): void {
		this.#pending.push(call.catch((error: unknown) => {
			if (!(error instanceof VerdictError) && !(error as {issues?: unknown}).issues) {
				throw error;
			}
		}));
	}
}

/** Runs a scenario to its end. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioOutcome> {
	const scenario = new Scenario(options);
	const {simulation} = scenario;
	await simulation.run(20_000);
	for (const step of options.steps) {
		await scenario.runStep(step);
	}

	const unfinished = await scenario.finish();
	const moves = await simulation.readTable<MoveRow>(fleetTables.moves);
	await simulation.close();
	return {
		violations: simulation.checker.violations,
		unfinished,
		reboots: simulation.vms.rebootCount,
		moved: moves.reduce((sum, move) => sum + move.done.length, 0),
		raceWinners: scenario.raceWinners,
	};
}
