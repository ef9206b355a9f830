/**
 * Health probes, which check whether a VM responds, independently of its state in the platform's list.
 */
import {connect} from 'node:net';
import {type VmRecord} from '@tamarackwind/clients';

/** Checks whether a VM responds. */
export abstract class VmProbe {
	/** Resolves to `false` if the VM did not respond in time; never rejects. */
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
			const finish = (isResponding: boolean): void => {
				socket.destroy();
				resolve(isResponding);
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

export type VmProberOptions = {
	readonly probe: VmProbe;
	/** Maximum number of VMs to probe in one round. The VMs in `first` are all probed, even beyond it. */
	readonly roundSize?: number;
};

const defaultRoundSize = 64;
const silentAfterFailures = 2;

/** Probes VMs and keeps the latest result of each. */
export class VmProber {
	static create(options: VmProberOptions): VmProber {
		return new VmProber(options);
	}

	readonly #options: VmProberOptions;
	readonly #results = new Map<string, ProbeResult>();

	private constructor(options: VmProberOptions) {
		this.#options = options;
	}

	/** Probes every VM in `first`, and those in `rest` with the oldest results up to the round size. */
	async runRound(first: readonly VmRecord[], rest: readonly VmRecord[], now: number): Promise<void> {
		const {probe, roundSize = defaultRoundSize} = this.#options;
		const byAge = rest.toSorted((a, b) => this.#readProbeTime(a) - this.#readProbeTime(b));
		const round = [...new Set([...first, ...byAge.slice(0, Math.max(0, roundSize - first.length))])];
		await Promise.all(round.map(async record => {
			const isResponding = await probe.probeVm(record);
			const previous = this.#results.get(record.vmId);
			const failures = previous?.incarnation === record.incarnation ? previous.failures : 0;
			this.#results.set(record.vmId, {incarnation: record.incarnation, failures: isResponding ? 0 : failures + 1, at: now});
		}));
	}

	/** Reports whether this incarnation of a VM responded to its latest probe. */
	isResponding({vmId, incarnation}: VmRecord): boolean {
		const result = this.#results.get(vmId);
		return result?.incarnation === incarnation && result.failures === 0;
	}

	/** Lists the VMs that failed `silentAfterFailures` or more probes in a row. */
	listSilentVms<Id extends string>(): Set<Id> {
		return new Set([...this.#results].filter(([, result]) => result.failures >= silentAfterFailures).map(([vmId]) => vmId as Id));
	}

	/** Discards all results. */
	clear(): void {
		this.#results.clear();
	}

	#readProbeTime({vmId}: VmRecord): number {
		return this.#results.get(vmId)?.at ?? Number.NEGATIVE_INFINITY;
	}
}
