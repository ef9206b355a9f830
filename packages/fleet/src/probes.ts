/**
 * Probes: whether a VM answers, apart from what the list says of it.
 */
import {connect} from 'node:net';
import {type VmRecord} from '@tamarackwind/clients';

/** Tells whether a VM answers. */
export abstract class VmProbe {
	/** Resolves to `false` when the VM did not answer in time; never throws. */
	abstract probeVm(record: VmRecord): Promise<boolean>;
}

const probeTimeoutMs = 1000;

/** Opens a TCP connection to the VM's port and closes it again. */
export class TcpProbe extends VmProbe {
	static create(): TcpProbe {
		return new TcpProbe();
	}

	override async probeVm({address, port}: VmRecord): Promise<boolean> {
		return new Promise(resolve => {
			const socket = connect({host: address, port, timeout: probeTimeoutMs});
			const finish = (isAnswering: boolean): void => {
				socket.destroy();
				resolve(isAnswering);
			};

			socket.once('connect', () => {
				finish(true);
			});
			socket.once('timeout', () => {
				finish(false);
			});
			socket.once('error', () => {
				finish(false);
			});
		});
	}
}

type ProbeResult = {readonly incarnation: string; readonly failures: number; readonly at: number};

export type ProbeBookOptions = {
	readonly probe: VmProbe;
	/** Most probes of one round. */
	readonly roundSize?: number;
};

const defaultRoundSize = 64;
const silentFailures = 2;

/** Results of the latest probes. */
export class ProbeBook {
	static create(options: ProbeBookOptions): ProbeBook {
		return new ProbeBook(options);
	}

	readonly #options: ProbeBookOptions;
	readonly #results = new Map<string, ProbeResult>();

	private constructor(options: ProbeBookOptions) {
		this.#options = options;
	}

	/** Probes `first` and then the VMs of `rest` that were probed longest ago, up to the round's size. */
	async runRound(first: readonly VmRecord[], rest: readonly VmRecord[], now: number): Promise<void> {
		const {probe, roundSize = defaultRoundSize} = this.#options;
		const byAge = rest.toSorted((a, b) => this.#readTime(a) - this.#readTime(b));
		const round = [...new Set([...first, ...byAge.slice(0, Math.max(0, roundSize - first.length))])];
		await Promise.all(round.map(async record => {
			const isAnswering = await probe.probeVm(record);
			const before = this.#results.get(record.vmId);
			const failures = before?.incarnation === record.incarnation ? before.failures : 0;
			this.#results.set(record.vmId, {incarnation: record.incarnation, failures: isAnswering ? 0 : failures + 1, at: now});
		}));
	}

	/** Tells whether this incarnation of a VM answered its latest probe. */
	isAnswering({vmId, incarnation}: VmRecord): boolean {
		const result = this.#results.get(vmId);
		return result?.incarnation === incarnation && result.failures === 0;
	}

	/** Lists the VMs that failed several probes in a row. */
	listSilentVms<Id extends string>(): Set<Id> {
		return new Set([...this.#results].filter(([, result]) => result.failures >= silentFailures).map(([vmId]) => vmId as Id));
	}

	/** Forgets every result. */
	clear(): void {
		this.#results.clear();
	}

	#readTime({vmId}: VmRecord): number {
		return this.#results.get(vmId)?.at ?? Number.NEGATIVE_INFINITY;
	}
}
