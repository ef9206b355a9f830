/**
 * Compressed copies of a large configuration in the store. An entry with a fast link writes one, and entries whose links would carry the
 * operator's row only slowly read it. A copy is never newer than the row it was made from, and does not confirm that this row is the newest.
 */
import {createHash} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import * as z from 'zod';
import {
	absentVersion, getKeyAfter, type RowChange, type WatchableTableService, type Write,
} from '@tamarackwind/clients';

export const copyTable = 'configuration-copies';
const headKey = 'head';
const partKeyPrefix = 'part/';
/** Wait of one watch for a copy, in milliseconds. */
const copyWatchMs = 500;
/** Maximum size of a decompressed copy, in bytes. */
const maxCopyBytes = 64_000_000;
/** Bytes that base64 encodes, and characters that they become. */
const base64Group = {bytes: 3, characters: 4} as const;
/** Space for the quotation marks of a part's value and a margin, in bytes. */
const partMarginBytes = 16;

/** `source` is the version of the copied row, `digest` the SHA-256 of its JSON. */
const headSchema = z.object({
	source: z.int(), key: z.string(), digest: z.string(), parts: z.int(),
});
type CopyHead = z.infer<typeof headSchema>;

/** The copied row: its key, value and version. */
export type CopiedRow = {readonly key: string; readonly value: unknown; readonly version: number};

export type CopyOutcome = 'written' | 'already-written' | 'too-large';

/** Writes and reads the copy of the newest configuration. */
export class ConfigurationCopies {
	static create(tables: WatchableTableService): ConfigurationCopies {
		return new ConfigurationCopies(tables);
	}

	private constructor(private readonly tables: WatchableTableService) {}

	/** Writes a copy of a row unless one of it, or of a later version, is there. */
	async write({key, value, version}: CopiedRow): Promise<CopyOutcome> {
		const text = JSON.stringify(value);
		const parts = splitParts(gzipSync(text), this.tables.limits.valueBytes);
		const head: CopyHead = {
			source: version, key, digest: computeDigest(text), parts: parts.length,
		};
		for (;;) {
			const current = await this.tables.getRow({table: copyTable, key: headKey});
			const previous = headSchema.safeParse(current?.value).data;
			if (previous !== undefined && previous.source >= version) {
				return 'already-written';
			}

			const writes = [{table: copyTable, key: headKey, value: head}, ...parts, ...listSurplusParts(parts.length, previous?.parts ?? 0)];
			if (writes.length + 1 > this.tables.limits.transactionEntries || sumBytes(parts) > this.tables.limits.transactionBytes) {
				return 'too-large';
			}

			const {status} = await this.tables.commit({checks: [{table: copyTable, key: headKey, version: current?.version ?? absentVersion}], writes});
			if (status === 'committed') {
				return 'written';
			}
		}
	}

	/** Waits for a copy of a row that is newer than `after`. Resolves to `undefined` once `signal` aborts. */
	async waitForCopy(after: number, signal: AbortSignal): Promise<CopiedRow | undefined> {
		while (!signal.aborted) {
			const {rows, version} = await this.tables.readRange(copyTable, {from: headKey, to: getKeyAfter(headKey)});
			const head = headSchema.safeParse(rows[0]?.value).data;
			const isNewer = head !== undefined && head.source > after;
			const copy = (isNewer ? decodeCopy(await this.tables.listRange(copyTable)) : undefined) ?? await this.#watch(version, signal);
			if (copy !== undefined && copy.version > after) {
				return copy;
			}
		}

		return undefined;
	}

	/** Waits for a copy that is written after a version of the store; resolves to `undefined` if the store no longer keeps the changes since then. */
	async #watch(after: number, signal: AbortSignal): Promise<CopiedRow | undefined> {
		let version = after;
		while (!signal.aborted) {
			const outcome = await this.tables.watchRows(copyTable, {after: version, waitMs: copyWatchMs, signal});
			if (outcome.status === 'expired' || outcome.changes.length > 0) {
				return outcome.status === 'expired' ? undefined : decodeCopy({rows: outcome.changes});
			}

			version = outcome.version;
		}

		return undefined;
	}
}

function splitParts(bytes: Uint8Array, valueBytes: number): Write[] {
	const partBytes = Math.min(bytes.length, Math.floor((valueBytes - partMarginBytes) / base64Group.characters) * base64Group.bytes);
	return Array.from({length: Math.ceil(bytes.length / partBytes)}, (_, index) => ({
		table: copyTable, key: formatPartKey(index), value: Buffer.from(bytes.subarray(index * partBytes, (index + 1) * partBytes)).toString('base64'),
	}));
}

/** Lists the deletions of parts that an earlier copy has and the new one has not. */
function listSurplusParts(parts: number, previousParts: number): Write[] {
	return Array.from({length: Math.max(0, previousParts - parts)}, (_, index) => ({table: copyTable, key: formatPartKey(parts + index)}));
}

function sumBytes(parts: readonly Write[]): number {
	return parts.reduce((sum, {value}) => sum + (value as string).length + partMarginBytes, 0);
}

/** Decodes the copy that the rows make up; returns `undefined` if they are incomplete or of several copies. */
function decodeCopy({rows: listed}: {readonly rows: readonly RowChange[]}): CopiedRow | undefined {
	const rows = new Map(listed.map(row => [row.key, row]));
	const head = headSchema.safeParse(rows.get(headKey)?.value).data;
	if (head === undefined) {
		return undefined;
	}

	const parts = Array.from({length: head.parts}, (_, index) => rows.get(formatPartKey(index))?.value);
	if (!parts.every(part => typeof part === 'string')) {
		return undefined;
	}

	const text = gunzipSync(Buffer.concat(parts.map(part => Buffer.from(part, 'base64'))), {maxOutputLength: maxCopyBytes}).toString('utf8');
	return computeDigest(text) === head.digest ? {key: head.key, value: JSON.parse(text) as unknown, version: head.source} : undefined;
}

function formatPartKey(index: number): string {
	return `${partKeyPrefix}${index}`;
}

function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
