/**
 * Connections to upstream workers, one undici pool for each.
 */
import {type VmRecord} from '@tamarackwind/platform';
import {Pool} from 'undici';

const connectTimeoutMs = 1000;

/** Opens and closes the connections to workers. */
export class Upstreams {
	static create(): Upstreams {
		return new Upstreams();
	}

	readonly #pools = new Map<string, Pool>();

	/** Gives the connections to a worker, at most `connections` of them, opened on first use. */
	getPool(vm: VmRecord, connections: number): Pool {
		const origin = `http://${vm.address}:${vm.port}`;
		const known = this.#pools.get(origin);
		if (known !== undefined) {
			return known;
		}

		const pool = new Pool(origin, {connections, pipelining: 1, connect: {timeout: connectTimeoutMs}});
		this.#pools.set(origin, pool);
		return pool;
	}

	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
		this.#pools.clear();
	}
}
