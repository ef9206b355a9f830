/**
 * Stores past VM listings of the stand-in platform and returns them with a lag, completely or as a change since an earlier one.
 */
import {type VmListingChange, type VmRecord} from '@tamarackwind/clients';

/** Transforms the VM list that the clients of one port receive. */
export type TransformVms = (vms: readonly VmRecord[]) => readonly VmRecord[];

type Listing = {
	/** Milliseconds since the Unix epoch. */
	readonly recordedAt: number;
	readonly generation: number;
	readonly vms: readonly VmRecord[];
};

const maxListings = 200;
const emptyListing: Listing = {recordedAt: 0, generation: 0, vms: []};

/** Keeps the latest 200 listings. */
export class VmListingHistory {
	static create(lagMs: number): VmListingHistory {
		return new VmListingHistory(lagMs);
	}

	readonly #lagMs: number;
	#listings: Listing[] = [emptyListing];

	private constructor(lagMs: number) {
		this.#lagMs = lagMs;
	}

	record(vms: readonly VmRecord[]): void {
		const generation = this.#listings.at(-1)!.generation + 1;
		this.#listings = [...this.#listings.slice(1 - maxListings), {recordedAt: Date.now(), generation, vms}];
	}

	/** Returns the complete listing that was current one lag ago. */
	read(): Pick<Listing, 'generation' | 'vms'> {
		const until = Date.now() - this.#lagMs;
		const {generation, vms} = this.#listings.findLast(listing => listing.recordedAt <= until) ?? emptyListing;
		return {generation, vms};
	}

	/** Returns the listing of one lag ago as a change since the given generation, or completely if that one is newer or no longer stored. */
	readChange(since: number): VmListingChange {
		const {generation, vms} = this.read();
		const base = this.#listings.find(listing => listing.generation === since);
		if (base === undefined || generation < base.generation) {
			return {generation, vms};
		}

		const baseVms = new Map(base.vms.map(vm => [vm.vmId, vm]));
		const ids = new Set(vms.map(vm => vm.vmId));
		return {
			generation,
			since: base.generation,
			vms: vms.filter(vm => baseVms.get(vm.vmId) !== vm),
			removed: base.vms.filter(vm => !ids.has(vm.vmId)).map(vm => vm.vmId),
		};
	}
}
