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
