/**
 * The stand-in's list of VMs: past listings, read with a lag, whole or as a change of an earlier one.
 */
import {type VmListingChange, type VmRecord} from '@tamarackwind/clients';

/** Changes the list of VMs for those who ask on one port. */
export type MapVms = (vms: readonly VmRecord[]) => readonly VmRecord[];

type Listing = {
	/** Milliseconds since the Unix epoch. */
	readonly recordedAt: number;
	readonly generation: number;
	readonly vms: readonly VmRecord[];
};

const maxListings = 200;
const emptyListing: Listing = {recordedAt: 0, generation: 0, vms: []};

/** Keeps the latest listings. */
export class Listings {
	static create(lagMs: number): Listings {
		return new Listings(lagMs);
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

	/** Reads the whole listing of one lag ago. */
	read(): Pick<Listing, 'generation' | 'vms'> {
		const until = Date.now() - this.#lagMs;
		const {generation, vms} = this.#listings.findLast(listing => listing.recordedAt <= until) ?? emptyListing;
		return {generation, vms};
	}

	/** Reads the listing of one lag ago as a change since an earlier generation, or whole when that is not known any more. */
	readChange(since: number): VmListingChange {
		const {generation, vms} = this.read();
		const earlier = this.#listings.find(listing => listing.generation === since);
		if (earlier === undefined || generation < earlier.generation) {
			return {generation, vms};
		}

		const known = new Map(earlier.vms.map(vm => [vm.vmId, vm]));
		const ids = new Set(vms.map(vm => vm.vmId));
		return {
			generation,
			since: earlier.generation,
			vms: vms.filter(vm => known.get(vm.vmId) !== vm),
			removed: earlier.vms.filter(vm => !ids.has(vm.vmId)).map(vm => vm.vmId),
		};
	}
}
