/**
 * Claims: rows that make a keyed non-idempotent request run at most once over all entries.
 */
import {
	VerdictError, type Clock, type EntryId, type RandomSource,
} from '@tamarackwind/core';
import {
	absentVersion, type ObjectStore, type Row, type RowKey, type TableService,
} from '@tamarackwind/clients';
import {type StoredAnswer} from './answers.js';
import {RowBatcher} from './batches.js';
import {
	createRowKey, isSuperseded, readClaimRow, resolveClaim, type Claim, type ClaimOutcome, type ClaimRequest, type ClaimRow, type KeptAnswer,
} from './claim-rows.js';

/** Largest answer body that is kept within the claim's row, in bytes; larger ones go to the object store. */
export const maxInlineBytes = 8 * 1024;
/** Largest answer body that is kept, in bytes. */
export const maxKeptBytes = 4 * 1024 * 1024;

/** Least time between two transactions that write ends of claims, in milliseconds. */
const endIntervalMs = 100;
const minPollMs = 50;
const maxPollMs = 500;
const maxLateRetryMs = 5000;
/** Longest time for which the end of a claim is written again and again, in milliseconds. */
const lateWriteTimeoutMs = 3_600_000;
/** Most bytes of answers that wait to be written; beyond them answers are not kept. */
const maxLateBytes = 16 * 1024 * 1024;

export type ClaimStoreOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly entryId: EntryId;
	/** Writes claims. */
	readonly batcher?: RowBatcher;
	/** Writes the ends of claims, for which nobody waits. */
	readonly endBatcher?: RowBatcher;
	/** Called when a run turns out to have been claimed by another. */
	readonly onDoubled?: () => void;
};

/** Takes, ends and reads claims. */
export class ClaimStore {
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	readonly #options: ClaimStoreOptions;
	readonly #batcher: RowBatcher;
	readonly #endBatcher: RowBatcher;
	readonly #lateWrites = new Set<Promise<void>>();
	readonly #closing = new AbortController();
	#lateBytes = 0;

	private constructor(options: ClaimStoreOptions) {
		this.#options = options;
		this.#batcher = options.batcher ?? RowBatcher.create(options);
		this.#endBatcher = options.endBatcher ?? RowBatcher.create({...options, intervalMs: endIntervalMs});
	}

	/** Claims whose end was not written yet. */
	get lateWrites(): number {
		return this.#lateWrites.size;
	}

	/** Claims a keyed request, or waits for the attempt that holds the claim. */
	async claim(request: ClaimRequest): Promise<ClaimOutcome> {
		const value = this.#createRow(request);
		let version: number | undefined = request.mayInsert ? absentVersion : undefined;
		let isUncertain = false;
		let isHeldElsewhere = false;
		for (let pollMs = minPollMs; ; pollMs = Math.min(pollMs * 2, maxPollMs)) {
			const step = await this.#takeStep(request, value, version);
			if (step.status === 'written') {
				return {status: 'claimed', claim: step.claim};
			}

			if (step.status === 'unavailable') {
				isUncertain ||= step.isUncertain;
				if (this.#hasPassed(request.availableBy) || request.signal.aborted) {
					return isHeldElsewhere ? {status: 'open'} : {status: 'unavailable', claim: {key: createRowKey(request.claimKey), version: absentVersion, value}, isUncertain};
				}
			} else {
				const decision = resolveClaim(step.row, request, value.token);
				if (typeof decision === 'object') {
					return decision;
				}

				version = decision;
				isHeldElsewhere = version === undefined;
			}

			if (version === undefined && (this.#hasPassed(request.finishBy) || request.signal.aborted)) {
				return {status: 'open'};
			}

			if (version === undefined || step.status === 'unavailable') {
				await this.#options.clock.sleep(pollMs, request.signal);
			}
		}
	}

	/** Records that the request ran, with its answer when it could be kept. Goes on in the background until it is written. */
	finish(claim: Claim, bodyHash: string | undefined, answer: StoredAnswer | undefined): void {
		const bytes = answer?.body.length ?? 0;
		const kept = bytes > 0 && this.#lateBytes + bytes > maxLateBytes ? undefined : answer;
		this.#writeLate(claim, kept?.body.length ?? 0, async () => ({
			...claim.value, bodyHash, state: 'finished', answer: kept === undefined ? undefined : await this.#storeAnswer(claim, kept),
		}));
	}

	/** Records that the request surely did not run. Goes on in the background until it is written. */
	release(claim: Claim): void {
		this.#writeLate(claim, 0, async () => ({...claim.value, state: 'released'}));
	}

	/**
	 * Reads the answer of a finished claim.
	 *
	 * @throws {VerdictError} `may-have-run`, with code `answer_not_kept` or `claims_unavailable`.
	 */
	async readAnswer({answer}: ClaimRow): Promise<StoredAnswer> {
		const body = answer?.body === undefined ? await this.#readObject(answer?.objectName) : Buffer.from(answer.body, 'base64');
		if (answer === undefined || body === undefined) {
			throw new VerdictError('the request ran; its answer was not kept', {verdict: 'may-have-run', code: 'answer_not_kept'});
		}

		return {status: answer.status, headers: answer.headers, body};
	}

	/** Waits up to `timeoutMs` for the ends of claims to be written, then gives up. */
	async close(timeoutMs = 0): Promise<void> {
		const {clock} = this.#options;
		await Promise.race([Promise.all(this.#lateWrites), clock.sleep(timeoutMs, this.#closing.signal)]);
		this.#closing.abort();
		await Promise.all(this.#lateWrites);
	}

	#hasPassed(monotonic: number): boolean {
		return this.#options.clock.readMonotonic() >= monotonic;
	}

	/** Tries to write the claim at `version`, or reads its row when `version` is `undefined`. */
	async #takeStep(request: ClaimRequest, value: ClaimRow, version: number | undefined): Promise<ClaimStep> {
		const key = createRowKey(request.claimKey);
		const step = version === undefined ? this.#readStep(key) : this.#writeStep(key, value, version);
		const controller = new AbortController();
		const abort = (): void => {
			controller.abort();
		};

		request.signal.addEventListener('abort', abort);
		try {
			return await Promise.race([step, this.#waitForTimeout(request, version !== undefined, controller.signal)]);
		} finally {
			request.signal.removeEventListener('abort', abort);
			abort();
		}
	}

	async #waitForTimeout({availableBy}: ClaimRequest, isUncertain: boolean, signal: AbortSignal): Promise<ClaimStep> {
		const {clock} = this.#options;
		await clock.sleep(Math.max(0, availableBy - clock.readMonotonic()), signal);
		return {status: 'unavailable', isUncertain};
	}

	async #writeStep(key: RowKey, value: ClaimRow, version: number): Promise<ClaimStep> {
		let isUncertain = false;
		try {
			const outcome = await this.#batcher.submit({...key, version, value});
			if (outcome.status === 'committed') {
				return {status: 'written', claim: {key, version: outcome.version, value}};
			}
		} catch (error) {
			// The answer may have been lost after the write took effect; the row tells.
			isUncertain = !(error instanceof VerdictError && error.verdict === 'not-run');
		}

		const step = await this.#readStep(key);
		if (step.status === 'unavailable') {
			return {status: 'unavailable', isUncertain};
		}

		const row = step.status === 'read' ? step.row : undefined;
		return row !== undefined && readClaimRow(row).token === value.token ? {status: 'written', claim: {key, version: row.version, value}} : step;
	}

	async #readStep(key: RowKey): Promise<ClaimStep> {
		try {
			return {status: 'read', row: await this.#options.tables.getRow(key)};
		} catch {
			return {status: 'unavailable', isUncertain: false};
		}
	}

	#createRow(request: ClaimRequest): ClaimRow {
		const {clock, random, entryId} = this.#options;
		return {
			state: 'open',
			token: random.createToken(),
			entryId,
			headHash: request.headHash,
			bodyHash: request.bodyHash,
			attempt: request.attempt,
			expiresAt: clock.readWall() + request.retentionMs,
		};
	}

	#writeLate(claim: Claim, bytes: number, createValue: () => Promise<ClaimRow>): void {
		this.#lateBytes += bytes;
		const write = this.#writeEnd(claim, createValue);
		this.#lateWrites.add(write);
		void write.then(() => {
			this.#lateBytes -= bytes;
			this.#lateWrites.delete(write);
		});
	}

	/** Writes the end of a claim until it is written, it belongs to another, or time is up. */
	async #writeEnd(claim: Claim, createValue: () => Promise<ClaimRow>): Promise<void> {
		const {clock} = this.#options;
		const giveUpAt = clock.readMonotonic() + lateWriteTimeoutMs;
		let {version} = claim;
		for (let pauseMs = minPollMs; clock.readMonotonic() < giveUpAt; pauseMs = Math.min(pauseMs * 2, maxLateRetryMs)) {
			const next = await this.#tryWriteEnd(claim, createValue, version);
			if (next === 'done' || this.#closing.signal.aborted) {
				return;
			}

			version = next ?? version;
			await clock.sleep(pauseMs, this.#closing.signal);
		}
	}

	/** Gives `done`, or the version at which to try again when it is known. */
	async #tryWriteEnd(claim: Claim, createValue: () => Promise<ClaimRow>, version: number): Promise<number | 'done' | undefined> {
		try {
			const value = await createValue();
			const outcome = await this.#endBatcher.submit({...claim.key, version, value});
			return outcome.status === 'committed' ? 'done' : await this.#findEndVersion(claim);
		} catch {
			return undefined;
		}
	}

	async #findEndVersion(claim: Claim): Promise<number | 'done'> {
		const row = await this.#options.tables.getRow(claim.key);
		if (row === undefined) {
			// The row was deleted after its retention, or it was never written.
			return claim.version === absentVersion ? absentVersion : 'done';
		}

		const {token, state} = readClaimRow(row);
		if (token === claim.value.token) {
			return state === 'open' ? row.version : 'done';
		}

		if (claim.version === absentVersion && isSuperseded(readClaimRow(row), claim.value)) {
			return row.version;
		}

		this.#options.onDoubled?.();
		return 'done';
	}

	async #storeAnswer({key, value}: Claim, {status, headers, body}: StoredAnswer): Promise<KeptAnswer> {
		if (body.length <= maxInlineBytes) {
			return {status, headers, body: Buffer.from(body).toString('base64')};
		}

		const objectName = `claims/${key.key}/${value.token}`;
		await this.#options.objects.putObject(objectName, body);
		return {status, headers, objectName};
	}

	async #readObject(name: string | undefined): Promise<Uint8Array | undefined> {
		try {
			return name === undefined ? undefined : await this.#options.objects.getObject(name);
		} catch {
			throw new VerdictError('the request ran; its answer can\'t be read now', {verdict: 'may-have-run', code: 'claims_unavailable'});
		}
	}
}

type ClaimStep
	= | {readonly status: 'written'; readonly claim: Claim}
		| {readonly status: 'read'; readonly row: Row | undefined}
		| {readonly status: 'unavailable'; readonly isUncertain: boolean};
