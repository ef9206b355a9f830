/**
 * Client interfaces of the platform's VM list, which lags behind the actual VMs, and of its VM control.
 */
import * as z from 'zod';

export const vmRecordSchema = z.object({
	vmId: z.string(),
	kind: z.enum(['worker', 'entry']),
	/** Changes each time the VM starts. */
	incarnation: z.string(),
	/** IP address. */
	address: z.string(),
	/** Upstream port on a worker, caller port on an entry. */
	port: z.number().int(),
	/** Port of the peer protocol, on entries only. */
	peerPort: z.number().int().optional(),
	region: z.string(),
	zone: z.string(),
	rack: z.string(),
	state: z.enum(['live', 'leaving', 'rebooting']),
	/** Pool that the VM was provisioned for. */
	pool: z.string().optional(),
	cores: z.number(),
	memoryMb: z.number(),
	accelerators: z.number(),
});

/** One VM of the platform's list. */
export type VmRecord = z.infer<typeof vmRecordSchema>;

/** The VM list as of one generation, which may be out of date. */
export type VmListing = {
	/** Increases with each change of the list. */
	readonly generation: number;
	readonly vms: readonly VmRecord[];
};

/** Changes relative to the listing of generation `since`, or a full listing when `since` is `undefined`. */
export type VmListingChange = VmListing & {
	/** Generation to which `vms` and `removed` apply. */
	readonly since?: number;
	/** Ids of the VMs that are no longer listed. */
	readonly removed?: readonly string[];
};

/** Applies a change to a listing; returns `undefined` when the change is relative to another generation. */
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

/** Client of the VM list. Methods throw a `VerdictError`. */
export abstract class VmList {
	abstract listVms(): Promise<VmListing>;
	abstract close(): Promise<void>;
}

/** Client of the VM control. Methods throw a `VerdictError`. */
export abstract class VmControl {
	/** Reboots a VM; idempotent for calls with the same `token`. */
	abstract rebootVm(vmId: string, token: string): Promise<void>;
	abstract close(): Promise<void>;
}
