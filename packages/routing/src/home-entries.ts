/**
 * Home entries: selects the entry that lends the slots of a pool.
 */
import {type EntryId, type PoolName} from '@tamarackwind/core';
import createHashes from 'xxhash-wasm';

const {h32} = await createHashes();

/**
 * Chooses the home entry of a pool by rendezvous hashing. When an entry joins or leaves, only the pools that it gains or
 * loses get another home entry.
 *
 * @example
 * const home = chooseHomeEntry(pool, [bus.self.entryId, ...bus.listPeers().map(peer => peer.entryId)]);
 */
export function chooseHomeEntry(pool: PoolName, entries: readonly EntryId[]): EntryId | undefined {
	let best: {readonly entryId: EntryId; readonly score: number} | undefined;
	for (const entryId of entries) {
		const score = h32(`${pool}\n${entryId}`);
		if (best === undefined || score > best.score || (score === best.score && entryId < best.entryId)) {
			best = {entryId, score};
		}
	}

	return best?.entryId;
}
