/**
 * The platform's lagging list of VMs, and the control of a VM as a whole.
 */
import {z} from 'zod';

export const vmRecordSchema = z.object({
	vmId: z.string(),
	kind: z.enum(['worker', 'entry']),
	/** Changes each time the VM starts. */
	incarnation: z.string(),
	/** IP number. */
	address: z.string(),
	/** Port of the upstream on a worker, of the caller port on an entry. */
	port: z.number().int(),
	/** Port of the inner protocol, on entries only. */
	peerPort: z.number().int().optional(),
	region: z.string(),
	zone: z.string(),
	rack: z.string(),
	state: z.enum(['live', 'leaving', 'rebooting']),
	/** Pool the VM was bought for. */
	pool: z.string().optional(),
	cores: z.number(),
	memoryMb: z.number(),
	accelerators: z.number(),
});

/** One VM as the platform lists it. */
export type VmRecord = z.infer<typeof vmRecordSchema>;

/** The list at one moment of the past. */
export type VmListing = {
	/** Grows with each change of the list. */
	readonly generation: number;
	readonly vms: readonly VmRecord[];
};

/** The list as a change of an earlier one, or whole when `since` is left out. */
export type VmListingChange = VmListing & {
	/** Generation that `vms` and `removed` lead on from. */
	readonly since?: number;
	/** Ids of the VMs that are no longer listed. */
	readonly removed?: readonly string[];
};

/** Applies a change to the listing that it leads on from; gives `undefined` when it does not fit. */
export function applyListingChange(listing: VmListing | undefined, change: VmListingChange): VmListing | undefined {
	if (change.since === undefined) {
		return {generation: change.generation, vms: change.vms};
	}

	if (listing?.generation !== change.since) {
		return undefined;
	}

	if (change.generation === change.since) {
		return listing;
	}

	const vms = new Map(listing.vms.map(vm => [vm.vmId, vm]));
	for (const vmId of change.removed ?? []) {
		vms.delete(vmId);
	}

	for (const vm of change.vms) {
		vms.set(vm.vmId, vm);
	}

	return {generation: change.generation, vms: [...vms.values()]};
}

/** Client of the list of VMs. Methods throw a `VerdictError`. */
export abstract class VmList {
	abstract listVms(): Promise<VmListing>;
	abstract close(): Promise<void>;
}

/** Client of the control of VMs. Methods throw a `VerdictError`. */
export abstract class VmControl {
	/** Starts a reboot of a VM; a second call with the same `token` starts no second one. */
	abstract rebootVm(vmId: string, token: string): Promise<void>;
	abstract close(): Promise<void>;
}
