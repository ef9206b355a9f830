import {
	type MoveId, type OperatorId, type PoolName, type RackName, type VmId, type WaveId, type ZoneName,
} from '@tamarackwind/core';
import {type VmRecord} from '@tamarackwind/clients';
import {resolveSettings, type Budget, type ResolvedPool} from '@tamarackwind/settings';
import test from 'ava';
import fc from 'fast-check';
import {
	FleetSnapshot, computeSkew, countDomains, isWithinBudget, planMoves, planWaves, type MoveRow, type PlanContext, type VmRow, type WaveRow,
} from '../src/index.js';

const north = 'north' as PoolName;
const south = 'south' as PoolName;

type Vm = {readonly zone: number; readonly rack: number; readonly isDown: boolean};
type Case = {readonly vms: readonly Vm[]; readonly budget: Budget};

const caseArbitrary: fc.Arbitrary<Case> = fc.record({
	vms: fc.array(fc.record({zone: fc.nat(3), rack: fc.nat(1), isDown: fc.nat(9).map(digit => digit === 0)}), {minLength: 1, maxLength: 16}),
	budget: fc.record({
		maxUnavailable: fc.oneof(fc.nat(5), fc.constantFrom('10%', '25%', '50%', '100%')), maxZones: fc.integer({min: 1, max: 4}), maxPerRack: fc.nat(3),
	}),
});

/** Reference implementation of the budget check: counts each limit directly. */
function checkBudgetReference({maxUnavailable, maxZones, maxPerRack}: Budget, size: number, out: readonly VmRow[]): boolean {
	const limit = typeof maxUnavailable === 'number' ? maxUnavailable : Math.floor(size * Number(maxUnavailable.replace('%', '')) / 100);
	const zones: string[] = [];
	for (const {zone} of out) {
		if (!zones.includes(zone)) {
			zones.push(zone);
		}
	}

	return out.length <= limit && zones.length <= maxZones && out.every(vm => out.filter(other => other.rack === vm.rack).length <= maxPerRack);
}

function createRows({vms}: Case): Map<VmId, VmRow> {
	return new Map(vms.map(({zone, rack}, index) => {
		const vmId = `vm-${index}` as VmId;
		return [vmId, {
			vmId, pool: north, home: north, zone: `zone-${zone}` as ZoneName, rack: `rack-${zone}-${rack}` as RackName, state: 'serving', since: 0,
		}];
	}));
}

function createRecords({vms}: Case): Map<string, VmRecord> {
	return new Map(vms.map(({zone, rack, isDown}, index) => [`vm-${index}`, {
		vmId: `vm-${index}`, kind: 'worker', incarnation: '1', address: '10.0.0.1', port: 1, region: 'r', zone: `zone-${zone}`, rack: `rack-${zone}-${rack}`,
		state: isDown ? 'rebooting' : 'live', cores: 1, memoryMb: 1, accelerators: 0,
	}]));
}

function createPools(budget: Budget): Map<PoolName, ResolvedPool> {
	return new Map(resolveSettings({deployments: {d: {pools: {north: {budget, services: {}}, south: {services: {}}}}}}, 'd', 1).pools);
}

function createContext(pools: Map<PoolName, ResolvedPool>, rows: ReadonlyMap<VmId, VmRow>, records: Map<string, VmRecord>): PlanContext {
	return {
		pools, snapshot: FleetSnapshot.create({rows, records, silentVms: new Set()}), nextVersion: 1, now: 0, heldVms: new Set(),
		isDrained: () => true, hasReturned: () => true, readStateAgeMs: () => 0,
	};
}

function createWave(total: number): WaveRow {
	return {
		waveId: 'wave-1' as WaveId, state: 'running', action: 'reboot', total, notBack: [], maxNotBack: 1, returnTimeoutMs: 1000, includesHeld: false, createdBy: 'o' as OperatorId, createdAt: 0,
	};
}

function listOut(rows: ReadonlyMap<VmId, VmRow>, records: ReadonlyMap<string, VmRecord>): VmRow[] {
	return [...rows.values()].filter(row => row.state !== 'serving' || records.get(row.vmId)!.state !== 'live');
}

function listMembers(rows: ReadonlyMap<VmId, VmRow>, pool: PoolName): VmRow[] {
	return [...rows.values()].filter(row => row.pool === pool);
}

/** Reference planner: reports whether the budget allows draining at least one unfinished VM. */
function canDrainOneReference({budget}: Case, rows: ReadonlyMap<VmId, VmRow>, records: ReadonlyMap<string, VmRecord>, done: (row: VmRow) => boolean): boolean {
	const out = listOut(rows, records);
	return [...rows.values()].some(row => !done(row) && checkBudgetReference(budget, rows.size, [...new Set([...out, row])]));
}

test('the budget check agrees with the reference check', t => {
	t.notThrows(() => {
		fc.assert(fc.property(caseArbitrary, input => {
			const rows = [...createRows(input).values()];
			const out = rows.filter((_, index) => input.vms[index]!.isDown);
			return isWithinBudget(input.budget, rows.length, out) === checkBudgetReference(input.budget, rows.length, out);
		}), {seed: 11, numRuns: 2000});
	});
});

test('a wave stays within the reference budget at each step and drains a VM whenever the reference planner can', t => {
	t.notThrows(() => {
		fc.assert(fc.property(caseArbitrary, input => {
			const records = createRecords(input);
			const pools = createPools(input.budget);
			const targets = [...createRows(input).keys()];
			let rows = createRows(input);
			let wave = createWave(targets.length);
			const isDone = (row: VmRow): boolean => wave.state === 'done' || (row.doneWaves?.includes(wave.waveId) ?? false);
			for (let step = 0; step < 4 * targets.length && wave.state !== 'done'; step++) {
				const before = rows;
				const ctx = createContext(pools, rows, records);
				planWaves(ctx, [{wave, targets}]);
				wave = (ctx.snapshot.writes[0]?.value as WaveRow | undefined) ?? wave;
				rows = new Map([...rows, ...ctx.snapshot.changes as Map<VmId, VmRow>]);
				const newlyDrainingVms = [...rows.values()].filter(row => row.state === 'draining' && before.get(row.vmId)!.state === 'serving');
				const isStuck = newlyDrainingVms.length === 0 && [...rows.values()].every(row => row.state === 'serving');
				if (newlyDrainingVms.length > 0 && !checkBudgetReference(input.budget, rows.size, listOut(rows, records))) {
					return false;
				}

				if (isStuck && wave.state !== 'done' && canDrainOneReference(input, rows, records, isDone)) {
					return false;
				}
			}

			return wave.state === 'done' || !canDrainOneReference(input, rows, records, isDone);
		}), {seed: 12, numRuns: 1000});
	});
});

test('a move worsens no pool\'s spread over zones and moves a VM only between its two pools', t => {
	t.notThrows(() => {
		fc.assert(fc.property(caseArbitrary, fc.array(fc.nat(3), {maxLength: 12}), fc.integer({min: 1, max: 4}), (input, southZones, count) => {
			const records = createRecords({...input, vms: input.vms.map(vm => ({...vm, isDown: false}))});
			const pools = createPools({maxUnavailable: 2, maxZones: 4, maxPerRack: 4});
			let rows: Map<VmId, VmRow> = createRows(input);
			for (const [index, zone] of southZones.entries()) {
				const vmId = `south-${index}` as VmId;
				rows.set(vmId, {
					vmId, pool: south, home: south, zone: `zone-${zone}` as ZoneName, rack: `rack-${zone}` as RackName, state: 'serving', since: 0,
				});
			}

			const domains = countDomains(rows.values());
			const readSkews = (): number[] => [north, south].map(pool => computeSkew(listMembers(rows, pool), domains).zone);
			let move: MoveRow = {
				moveId: 'move-1' as MoveId, state: 'running', cause: 'operator', from: north, to: south, count, vmIds: [], done: [], createdBy: 'o' as OperatorId, createdAt: 0,
			};
			for (let step = 0; step < 10; step++) {
				const before = readSkews();
				const ctx = createContext(pools, rows, records);
				planMoves(ctx, [move], rows.values());
				move = (ctx.snapshot.writes[0]?.value as MoveRow | undefined) ?? move;
				rows = new Map([...rows, ...ctx.snapshot.changes as Map<VmId, VmRow>]);
				const hasMoved = [...ctx.snapshot.changes.values()].some(row => row?.pool === south);
				const vmsInOperation = [...rows.values()].filter(row => row.work !== undefined).length;
				if (hasMoved && vmsInOperation === 0 && readSkews().some((skew, index) => skew > before[index]!)) {
					return false;
				}
			}

			const moved = [...rows.values()].filter(row => row.vmId.startsWith('vm-') && row.pool === south);
			return moved.length === move.done.length && moved.length <= count;
		}), {seed: 13, numRuns: 1000});
	});
});
