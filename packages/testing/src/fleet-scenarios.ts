/**
 * Runs random sequences of operator actions and faults in fleet simulations.
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

/** Creates the pools of a scenario: two working pools and a spare pool. */
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

/** Creates the VM records of a scenario. */
export function createScenarioRecords(): VmRecord[] {
	return poolNames.flatMap(pool => Array.from({length: vmsPerPool}, (_, index) => createWorkerRecord(pool, index, 1)));
}

/** One step of a scenario: an action and the time to wait after it. */
export type ScenarioStep = {
	readonly kind: 'wave' | 'wave-state' | 'move' | 'race' | 'cancel-move' | 'pause' | 'cut' | 'down' | 'slow' | 'lossy' | 'lag' | 'list-down' | 'fail' | 'jump' | 'wait';
	/** Random number that selects the target and the parameters of the action. */
	readonly choice: number;
	readonly waitMs: number;
};

/** All kinds of steps. */
export const stepKinds: ReadonlyArray<ScenarioStep['kind']> = [
	'wave', 'wave-state', 'move', 'race', 'cancel-move', 'pause', 'cut', 'down', 'slow', 'lossy', 'lag', 'list-down', 'fail', 'jump', 'wait',
];

export type ScenarioOutcome = {
	readonly violations: readonly string[];
	/** Waves and moves that did not finish after the faults had ended. */
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
	#idCount = 0;

	constructor({seed, without}: ScenarioOptions) {
		this.simulation = FleetSimulation.create({
			seed, without, entries: 3, pools: createScenarioPools(), records: createScenarioRecords(), maxRunMs: seed % 2 === 0 ? 8000 : 2000, requestRate: 0.5,
			chooseRebootOutcome: (_record, random) => ({afterMs: 20_000 + (random.readFraction() * 60_000), isLost: random.readFraction() < 0.05}),
		});
		this.#random = this.simulation.random;
	}

	async runStep({kind, choice, waitMs}: ScenarioStep): Promise<void> {
		const {simulation} = this;
		const entry = simulation.entries[choice % simulation.entries.length]!;
		const {faults, vms, clock} = simulation;
		const scheduleRestore = (ms: number, restore: () => void): void => {
			void clock.sleep(ms).then(restore);
		};

		const faultMs = 1000 + (choice * 60);
		switch (kind) {
			case 'wave': {
				this.#trackCall(entry.commands.startWave({
					waveId: this.#createId<WaveId>('wave'), selector: {pools: [poolNames[choice % 3]!]}, action: 'reboot', maxNotBack: 1 + (choice % 2), returnTimeoutMs: 120_000, includesHeld: false,
				}, operator));
				break;
			}

			case 'wave-state': {
				const waves = (await simulation.readTable<WaveRow>(fleetTables.waves)).filter(wave => isWaveActive(wave));
				const wave = waves[choice % Math.max(1, waves.length)];
				if (wave !== undefined) {
					this.#trackCall(entry.commands.setWaveState(wave.waveId, (['pause', 'resume', 'cancel'] as const)[choice % 3]!, operator));
				}

				break;
			}

			case 'move': {
				const [from, to] = choice % 2 === 0 ? ['spare', 'north'] : ['south', 'spare'];
				this.#trackCall(entry.commands.startMove({
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
					this.#trackCall(entry.commands.cancelMove(move.moveId, operator));
				}

				break;
			}

			case 'pause': {
				entry.gate.pause();
				scheduleRestore(faultMs, () => {
					entry.gate.resume();
				});
				break;
			}

			case 'cut': {
				entry.tables.isDisconnected = true;
				scheduleRestore(faultMs, () => {
					entry.tables.isDisconnected = false;
				});
				break;
			}

			case 'down': {
				faults.isDown = true;
				scheduleRestore(faultMs, () => {
					faults.isDown = false;
				});
				break;
			}

			case 'slow': {
				faults.delayMs = choice * 2;
				scheduleRestore(faultMs, () => {
					faults.delayMs = 0;
				});
				break;
			}

			case 'lossy': {
				faults.lossRate = 0.3;
				scheduleRestore(faultMs, () => {
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
				scheduleRestore(faultMs, () => {
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

	/** Clears the faults, recovers lost VMs and waits for the waves and moves to finish; returns those that did not. */
	async finish(): Promise<string[]> {
		const {simulation} = this;
		const {faults, vms, entries} = simulation;
		faults.isDown = false;
		faults.delayMs = 0;
		faults.lossRate = 0;
		vms.isListDown = false;
		vms.listLagMs = 0;
		for (const entry of entries) {
			entry.gate.resume();
			entry.tables.isDisconnected = false;
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
				this.#trackCall(this.simulation.entries[0]!.commands.setWaveState(wave.waveId, 'resume', operator));
				await this.simulation.run(5000);
			}
		}
	}

	async #listUnfinished(): Promise<string[]> {
		const rows = await this.simulation.readTable<VmRow>(fleetTables.vms);
		const waves = (await this.simulation.readTable<WaveRow>(fleetTables.waves)).filter(wave => isWaveActive(wave) && !this.#hasExhaustedBudget(rows));
		const moves = (await this.simulation.readTable<MoveRow>(fleetTables.moves)).filter(move => isMoveActive(move) && move.vmIds.length > 0 && !this.#hasExhaustedBudget(rows));
		return [...waves.map(wave => `${wave.waveId} ${wave.state}`), ...moves.map(move => `${move.moveId} ${move.state}`)];
	}

	/** Reports whether a pool has shrunk so far that its budget allows no VM out of service; its waves and moves then cannot finish. */
	#hasExhaustedBudget(rows: readonly VmRow[]): boolean {
		return this.simulation.options.pools.some(pool => computeMaxUnavailable(pool.budget, rows.filter(row => row.pool === pool.name).length) === 0);
	}

	/** Submits two concurrent moves of the same VM to different pools through different entries. */
	async #runRace(choice: number): Promise<void> {
		const rows = (await this.simulation.readTable<VmRow>(fleetTables.vms)).filter(row => row.reservedBy === undefined && row.work?.kind !== 'move');
		const row = rows[choice % Math.max(1, rows.length)];
		if (row === undefined) {
			return;
		}

		const targets = poolNames.filter(name => name !== row.pool);
		const attempts = targets.map(async (to, index) => this.simulation.entries[index]!.commands.startMove({
			moveId: this.#createId<MoveId>('move'), from: row.pool, to: to as PoolName, vms: [row.vmId], allowsWorseSpread: true,
		}, operator));
		this.#trackCall(Promise.allSettled(attempts).then(outcomes => {
			this.raceWinners.push(outcomes.filter(outcome => outcome.status === 'fulfilled').length);
		}));
	}

	/** Takes down several VMs of one rack at the same time. */
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
		this.#idCount++;
		return `${kind}-${this.#idCount}` as Id;
	}

	/** Runs an operator's call in the background and ignores refusals, which are expected. */
	#trackCall(call: Promise<unknown>): void {
		this.#pending.push(call.catch((error: unknown) => {
			if (!(error instanceof VerdictError) && !(error as {issues?: unknown}).issues) {
				throw error;
			}
		}));
	}
}

/** Runs the steps of a scenario, clears the faults and reports the violations and the waves and moves that did not finish. */
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
