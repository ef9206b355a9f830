/**
 * Schema of the fleet in the table service: rows of VMs, waves, moves and holds.
 */
import {
	type MoveId, type OperatorId, type PoolName, type RackName, type VmId, type WaveId, type ZoneName,
} from '@tamarackwind/core';
import {type RowKey} from '@tamarackwind/clients';

/** Tables of the fleet. */
export const fleetTables = {
	fleet: 'fleet',
	changes: 'fleet-changes',
	vms: 'vms',
	waves: 'waves',
	waveTargets: 'wave-targets',
	moves: 'moves',
	holds: 'holds',
	demand: 'demand',
	drains: 'drains',
} as const;

/** Key of the row whose version every change of the fleet checks and increments. */
export const currentFleetKey: RowKey = {table: fleetTables.fleet, key: 'current'};

/** Value of the row that holds the fleet version. */
export type CurrentFleet = {readonly version: number};

/** Value of a row of the change log; its key is the fleet version. */
export type FleetChangeRow = {
	/** Token by which a writer recognizes its own change after it lost the reply. */
	readonly token: string;
	readonly vmIds: readonly VmId[];
};

/** Wave or move that takes a VM out of service. */
export type VmOperation
	= | {readonly kind: 'wave'; readonly id: WaveId}
		| {readonly kind: 'move'; readonly id: MoveId; readonly to: PoolName};

/**
 * State of a VM.
 *
 * - `serving`: receives new work.
 * - `draining`: receives no new work; work in flight continues.
 * - `out`: runs no work.
 */
export type VmState = 'serving' | 'draining' | 'out';

/** A VM and the pool it belongs to. */
export type VmRow = {
	readonly vmId: VmId;
	readonly pool: PoolName;
	/** Pool that owns the VM; differs from `pool` while the VM is lent. */
	readonly home: PoolName;
	readonly zone: ZoneName;
	readonly rack: RackName;
	readonly state: VmState;
	readonly work?: VmOperation;
	/** Time of the latest change of state by the writer's clock, in milliseconds since the Unix epoch; for display only. */
	readonly since: number;
	/** Fleet version at which the VM started to drain. */
	readonly drainVersion?: number;
	/** Incarnation of the VM when it started to drain. */
	readonly incarnation?: string;
	/** Move for which the VM is reserved. */
	readonly reservedBy?: MoveId;
	/** Unfinished waves that have finished this VM. */
	readonly doneWaves?: readonly WaveId[];
};

/** What a wave does to a VM; after `drain` it stays out until an operator releases it. */
export type WaveAction = 'reboot' | 'drain';

/**
 * State of a wave.
 *
 * - `stopped`: too many VMs did not return; the wave resumes by itself once enough have returned.
 * - `paused`: an operator paused it.
 * - `cancelling`, `expired`: the wave drains no further VM and waits for those that are out.
 */
export type WaveState = 'running' | 'stopped' | 'paused' | 'cancelling' | 'expired' | 'cancelled' | 'done';

/** A maintenance wave. Its VMs are stored in a separate row. */
export type WaveRow = {
	readonly waveId: WaveId;
	readonly state: WaveState;
	readonly action: WaveAction;
	readonly total: number;
	/** VMs that did not return within `returnTimeoutMs`; they may still return. */
	readonly notBack: readonly VmId[];
	/** Number of VMs in `notBack` at which the wave stops. */
	readonly maxNotBack: number;
	/** Time after which a rebooted VM counts as not returned, in milliseconds. */
	readonly returnTimeoutMs: number;
	/** Time after which the wave drains no further VM, in milliseconds since the Unix epoch. */
	readonly deadline?: number;
	/** Whether the wave includes VMs that hold long-lived kernels. */
	readonly includesHeld: boolean;
	readonly createdBy: OperatorId;
	readonly createdAt: number;
	readonly finishedAt?: number;
	/** Number of finished VMs; set when the wave ends. */
	readonly doneCount?: number;
};

/** VMs of a wave, ordered by failure domain; immutable. */
export type WaveTargetsRow = {readonly vmIds: readonly VmId[]};

/** Why a move was created. */
export type MoveCause = 'operator' | 'size' | 'need' | 'return';

/** State of a move. */
export type MoveState = 'running' | 'cancelling' | 'cancelled' | 'done';

/** A move of VMs between two pools. */
export type MoveRow = {
	readonly moveId: MoveId;
	readonly state: MoveState;
	readonly cause: MoveCause;
	readonly from: PoolName;
	readonly to: PoolName;
	readonly count: number;
	/** VMs that the operator named; if empty, the planner chooses. */
	readonly vmIds: readonly VmId[];
	readonly done: readonly VmId[];
	readonly createdBy: OperatorId;
	readonly createdAt: number;
	readonly finishedAt?: number;
};

/** A long-lived task that keeps maintenance and moves off a VM. The key is the VM id and the task id, joined by `/`. */
export type HoldRow = {readonly vmId: VmId};

/** Reports whether a wave can still change VMs. */
export function isWaveActive({state}: WaveRow): boolean {
	return state !== 'done' && state !== 'cancelled';
}

/** Reports whether a move can still change VMs. */
export function isMoveActive({state}: MoveRow): boolean {
	return state === 'running' || state === 'cancelling';
}

const versionDigits = 16;

/** Formats the key of a change log row; keys sort in the order of versions. */
export function formatChangeKey(version: number): string {
	return String(version).padStart(versionDigits, '0');
}
