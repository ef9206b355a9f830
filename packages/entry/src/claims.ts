/**
 * Claims: table rows that ensure that a non-idempotent request with an idempotency key runs at most once across all
 * entries.
 */
import {
	VerdictError, type Clock, type EntryId, type RandomSource,
} from '@tamarackwind/core';
import {
	absentVersion, type ObjectStore, type Row, type RowKey, type TableService,
} from '@tamarackwind/clients';
import {type StoredResponse} from './response-writers.js';
import {RowBatcher} from './row-batchers.js';
import {
	createRowKey, isSuperseded, readClaimRow, resolveClaim, type Claim, type ClaimOutcome, type ClaimRequest, type ClaimRow, type ClaimResponse,
} from './claim-rows.js';

/** Largest response body that is stored in the claim's row, in bytes. Larger bodies go to the object store. */
export const maxInlineBytes = 8 * 1024;
/** Largest response body that is stored, in bytes. */
export const maxStoredResponseBytes = 4 * 1024 * 1024;

/** Shortest interval between two transactions that write final states of claims, in milliseconds. */
const finalStateIntervalMs = 100;
const minPollMs = 50;
const maxPollMs = 500;
const maxFinalRetryMs = 5000;
/** Time after which the write of a claim's final state is no longer retried, in milliseconds. */
const finalWriteTimeoutMs = 3_600_000;
/** Upper bound for the response bodies that wait to be written, in bytes. Above it, responses are not stored. */
const maxPendingBytes = 16 * 1024 * 1024;

export type ClaimStoreOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly entryId: EntryId;
	/** Writes new claims. */
	readonly batcher?: RowBatcher;
	/** Writes the final states of claims in the background. */
	readonly finalStateBatcher?: RowBatcher;
	/** Called when a request ran here although another attempt holds its claim. */
	readonly onDuplicateRun?: () => void;
};

/** Acquires, finishes, releases and reads claims. */
export class ClaimStore {
	static create(options: ClaimStoreOptions): ClaimStore {
		return new ClaimStore(options);
	}

	readonly #options: ClaimStoreOptions;
	readonly #batcher: RowBatcher;
	readonly #finalStateBatcher: RowBatcher;
	readonly #pendingWrites = new Set<Promise<void>>();
	readonly #closeController = new AbortController();
	#pendingBytes = 0;

	private constructor(options: ClaimStoreOptions) {
		this.#options = options;
		this.#batcher = options.batcher ?? RowBatcher.create(options);
		this.#finalStateBatcher = options.finalStateBatcher ?? RowBatcher.create({...options, intervalMs: finalStateIntervalMs});
	}

	/** Number of claims whose final state is not written yet. */
	get pendingWrites(): number {
		return this.#pendingWrites.size;
	}

	/** Acquires the claim of a request, or waits for the attempt that holds it. */
	async claim(request: ClaimRequest): Promise<ClaimOutcome> {
		const value = this.#createRow(request);
		let version: number | undefined = request.mayAcquire ? absentVersion : undefined;
		let isUncertain = false;
		let isHeldElsewhere = false;
		for (let pollMs = minPollMs; ; pollMs = Math.min(pollMs * 2, maxPollMs)) {
			const step = await this.#runStep(request, value, version);
			if (step.status === 'written') {
				return {status: 'claimed', claim: step.claim};
			}

			if (step.status === 'unavailable') {
				isUncertain ||= step.isUncertain;
				if (this.#isPast(request.tableDeadlineAt) || request.signal.aborted) {
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

			if (version === undefined && (this.#isPast(request.claimDeadlineAt) || request.signal.aborted)) {
				return {status: 'open'};
			}

			if (version === undefined || step.status === 'unavailable') {
				await this.#options.clock.sleep(pollMs, request.signal);
			}
		}
	}

	/** Records in the background that the request ran, with its response if it can be stored. */
	finish(claim: Claim, bodyHash: string | undefined, response: StoredResponse | undefined): void {
		const bytes = response?.body.length ?? 0;
		const storableResponse = bytes > 0 && this.#pendingBytes + bytes > maxPendingBytes ? undefined : response;
		this.#writeInBackground(claim, storableResponse?.body.length ?? 0, async () => ({
			...claim.value, bodyHash, state: 'finished', answer: storableResponse === undefined ? undefined : await this.#storeResponse(claim, storableResponse),
		}));
	}

	/** Records in the background that the request certainly did not run. */
	release(claim: Claim): void {
		this.#writeInBackground(claim, 0, async () => ({...claim.value, state: 'released'}));
	}

	/**
	 * Reads the stored response of a finished claim.
	 *
	 * @throws {VerdictError} `may-have-run`, with code `answer_not_kept` or `claims_unavailable`.
	 */
	async readResponse({answer}: ClaimRow): Promise<StoredResponse> {
		const body = answer?.body === undefined ? await this.#readObject(answer?.objectName) : Buffer.from(answer.body, 'base64');
		if (answer === undefined || body === undefined) {
			throw new VerdictError('the request ran; its answer was not kept', {verdict: 'may-have-run', code: 'answer_not_kept'});
		}

		return {status: answer.status, headers: answer.headers, body};
	}

	/** Waits up to `timeoutMs` milliseconds for pending writes, then stops their retries. */
	async close(timeoutMs = 0): Promise<void> {
		const {clock} = this.#options;
		await Promise.race([Promise.all(this.#pendingWrites), clock.sleep(timeoutMs, this.#closeController.signal)]);
		this.#closeController.abort();
		await Promise.all(this.#pendingWrites);
	}

	#isPast(deadlineAt: number): boolean {
		return this.#options.clock.readMonotonic() >= deadlineAt;
	}

	/** Tries to write the claim at `version`, or reads its row if `version` is `undefined`. */
	async #runStep(request: ClaimRequest, value: ClaimRow, version: number | undefined): Promise<ClaimStepResult> {
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

	async #waitForTimeout({tableDeadlineAt: deadlineAt}: ClaimRequest, isUncertain: boolean, signal: AbortSignal): Promise<ClaimStepResult> {
		const {clock} = this.#options;
		await clock.sleep(Math.max(0, deadlineAt - clock.readMonotonic()), signal);
		return {status: 'unavailable', isUncertain};
	}

	async #writeStep(key: RowKey, value: ClaimRow, version: number): Promise<ClaimStepResult> {
		let isUncertain = false;
		try {
			const outcome = await this.#batcher.submit({...key, version, value});
			if (outcome.status === 'committed') {
				return {status: 'written', claim: {key, version: outcome.version, value}};
			}
		} catch (error) {
			// The reply may have been lost after the write took effect, so the row is read below.
			isUncertain = !(error instanceof VerdictError && error.verdict === 'not-run');
		}

		const step = await this.#readStep(key);
		if (step.status === 'unavailable') {
			return {status: 'unavailable', isUncertain};
		}

		const row = step.status === 'read' ? step.row : undefined;
		return row !== undefined && readClaimRow(row).token === value.token ? {status: 'written', claim: {key, version: row.version, value}} : step;
	}

	async #readStep(key: RowKey): Promise<ClaimStepResult> {
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

	#writeInBackground(claim: Claim, bytes: number, createValue: () => Promise<ClaimRow>): void {
		this.#pendingBytes += bytes;
		const write = this.#writeFinalState(claim, createValue);
		this.#pendingWrites.add(write);
		void write.then(() => {
			this.#pendingBytes -= bytes;
			this.#pendingWrites.delete(write);
		});
	}

	/** Retries the write of a claim's final state until it succeeds, another attempt owns the row, or the timeout passes. */
	async #writeFinalState(claim: Claim, createValue: () => Promise<ClaimRow>): Promise<void> {
		const {clock} = this.#options;
		const deadlineAt = clock.readMonotonic() + finalWriteTimeoutMs;
		let {version} = claim;
		for (let pauseMs = minPollMs; clock.readMonotonic() < deadlineAt; pauseMs = Math.min(pauseMs * 2, maxFinalRetryMs)) {
			const next = await this.#tryWriteFinalState(claim, createValue, version);
			if (next === 'done' || this.#closeController.signal.aborted) {
				return;
			}

			version = next ?? version;
			await clock.sleep(pauseMs, this.#closeController.signal);
		}
	}

	/** Returns `done`, the row version for the next try, or `undefined` if that version is unknown. */
	async #tryWriteFinalState(claim: Claim, createValue: () => Promise<ClaimRow>, version: number): Promise<number | 'done' | undefined> {
		try {
			const value = await createValue();
			const outcome = await this.#finalStateBatcher.submit({...claim.key, version, value});
			return outcome.status === 'committed' ? 'done' : await this.#findRetryVersion(claim);
		} catch {
			return undefined;
		}
	}

	async #findRetryVersion(claim: Claim): Promise<number | 'done'> {
		const row = await this.#options.tables.getRow(claim.key);
		if (row === undefined) {
			// The row was deleted after its retention period, or was never written.
			return claim.version === absentVersion ? absentVersion : 'done';
		}

		const {token, state} = readClaimRow(row);
		if (token === claim.value.token) {
			return state === 'open' ? row.version : 'done';
		}

		if (claim.version === absentVersion && isSuperseded(readClaimRow(row), claim.value)) {
			return row.version;
		}

		this.#options.onDuplicateRun?.();
		return 'done';
	}

	async #storeResponse({key, value}: Claim, {status, headers, body}: StoredResponse): Promise<ClaimResponse> {
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

type ClaimStepResult
	= | {readonly status: 'written'; readonly claim: Claim}
		| {readonly status: 'read'; readonly row: Row | undefined}
		| {readonly status: 'unavailable'; readonly isUncertain: boolean};
