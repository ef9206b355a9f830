/**
 * Rows of the table service that hold the fleet: VMs, waves, moves and what they go by.
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

/** Row that every change of the fleet checks and raises. */
export const currentFleetKey: RowKey = {table: fleetTables.fleet, key: 'current'};

/** Value of the row that names the fleet version. */
export type CurrentFleet = {readonly version: number};

/** Value of a row of the change log; its key is the fleet version. */
export type FleetChangeRow = {
	/** Write token by which a writer recognises its own change after a lost answer. */
	readonly token: string;
	readonly vmIds: readonly VmId[];
};

/** What takes a VM out of service. */
export type VmWork
	= | {readonly kind: 'wave'; readonly id: WaveId}
		| {readonly kind: 'move'; readonly id: MoveId; readonly to: PoolName};

/**
 * State of a VM.
 *
 * - `serving`: gets new work.
 * - `draining`: gets no new work; work in flight goes on.
 * - `out`: runs no work.
 */
export type VmState = 'serving' | 'draining' | 'out';

/** A VM and its one pool. */
export type VmRow = {
	readonly vmId: VmId;
	readonly pool: PoolName;
	/** Pool that the VM returns to when it was lent. */
	readonly home: PoolName;
	readonly zone: ZoneName;
	readonly rack: RackName;
	readonly state: VmState;
	readonly work?: VmWork;
	/** Milliseconds since the Unix epoch, of the writer's clock; for people only. */
	readonly since: number;
	/** Fleet version at which the VM began to drain. */
	readonly drainVersion?: number;
	/** Incarnation that was taken out. */
	readonly incarnation?: string;
	/** Declared move that will take the VM. */
	readonly reservedBy?: MoveId;
	/** Unfinished waves that are done with the VM. */
	readonly doneWaves?: readonly WaveId[];
};

/** What a wave does to a VM: `drain` keeps it out until an operator releases it. */
export type WaveAction = 'reboot' | 'drain';

/**
 * State of a wave.
 *
 * - `stopped`: too many VMs did not come back; it goes on by itself.
 * - `paused`: an operator paused it.
 * - `cancelling`, `expired`: it takes no further VM and waits for those that are out.
 */
export type WaveState = 'running' | 'stopped' | 'paused' | 'cancelling' | 'expired' | 'cancelled' | 'done';

/** A maintenance wave; its VMs stand in a row of their own. */
export type WaveRow = {
	readonly waveId: WaveId;
	readonly state: WaveState;
	readonly action: WaveAction;
	readonly total: number;
	/** VMs that failed to come back and may still do. */
	readonly notBack: readonly VmId[];
	/** Number of such VMs that stops the wave. */
	readonly maxNotBack: number;
	/** Time after which a rebooted VM counts as not back, in milliseconds. */
	readonly returnTimeoutMs: number;
	/** Time after which the wave takes out no further VM, in milliseconds since the Unix epoch. */
	readonly deadline?: number;
	/** Whether VMs that hold long-lived kernels are taken too. */
	readonly includesHeld: boolean;
	readonly createdBy: OperatorId;
	readonly createdAt: number;
	readonly finishedAt?: number;
	/** VMs done, kept once the wave has finished. */
	readonly doneCount?: number;
};

/** VMs of a wave, in the order of failure domains; never changes. */
export type WaveTargetsRow = {readonly vmIds: readonly VmId[]};

/** Why a move was declared. */
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
	/** VMs that the operator named; the planner chooses when empty. */
	readonly vmIds: readonly VmId[];
	readonly done: readonly VmId[];
	readonly createdBy: OperatorId;
	readonly createdAt: number;
	readonly finishedAt?: number;
};

/** Work on a VM that maintenance and moves go around. Its key is the VM and the task, joined by `/`. */
export type HoldRow = {readonly vmId: VmId};

/** Tells whether a wave may still change VMs. */
export function isWaveActive({state}: WaveRow): boolean {
	return state !== 'done' && state !== 'cancelled';
}

/** Tells whether a move may still change VMs. */
export function isMoveActive({state}: MoveRow): boolean {
	return state === 'running' || state === 'cancelling';
}

const versionDigits = 16;

/** Gives the key of a row of the change log; keys sort as versions do. */
export function formatChangeKey(version: number): string {
	return String(version).padStart(versionDigits, '0');
}
