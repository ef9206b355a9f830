/**
 * Applies changes to the settings tree: validates an operator's tree, commits it as a new version, and waits until all
 * entries use it.
 */
import {
	VerdictError, createIssuesError, type ChangeId, type Clock, type Issue,
} from '@tamarackwind/core';
import {type VersionBarrier} from '@tamarackwind/peer';
import {
	applyChanges, checkPoolRemovals, diffTrees, findOverlaps, formatTreePath, isPathCovered, listLeaves, safeParseTree,
	type PoolVmCounts, type SettingsTree, type TreeChange, type TreePath,
} from '@tamarackwind/settings';
import {type AuditEntry, type AuditLog, type AuditOutcome} from './audits.js';
import {type Requester} from './operator-identities.js';
import {
	hashTree, type SettingsChangeRow, type SettingsOrigins, type SourceLocation, type SettingsStore, type StoredSettings,
} from './settings-stores.js';
import {type SettingsView} from './settings-views.js';

/** Request of an operator to apply a whole tree. */
export type SettingsRequest = {
	readonly changeId: ChangeId;
	readonly baseVersion: number;
	readonly tree: unknown;
	/** Location of each value in the operator's files, keyed by its formatted path. */
	readonly places?: Readonly<Record<string, SourceLocation>>;
	readonly why?: string;
	/** Whether to rebase the change onto disjoint changes made since the base version. */
	readonly isRebased?: boolean;
	/** Whether to validate the change without committing it. */
	readonly isDryRun?: boolean;
};

export type SettingsOutcome
	= | {readonly status: 'in-force' | 'pending' | 'checked'; readonly changeId: ChangeId; readonly version: number; readonly paths: readonly string[]}
		| {
			readonly status: 'conflict';
			readonly version: number;
			/** Paths that both changes modify, or the paths of the other change if `isDisjoint`. */
			readonly paths: readonly string[];
			readonly isDisjoint: boolean;
		}
		| {readonly status: 'forbidden'; readonly paths: readonly string[]};

export type SettingsChangesOptions = {
	readonly clock: Clock;
	readonly store: SettingsStore;
	readonly audit: AuditLog;
	readonly view: SettingsView;
	readonly barrier: VersionBarrier;
	/** Returns the current number of VMs in each pool. */
	readonly countVms: () => PoolVmCounts;
};

type ChangePlan = {readonly tree: SettingsTree; readonly changes: readonly TreeChange[]};
type Refusal = Extract<SettingsOutcome, {readonly status: 'conflict' | 'forbidden'}>;

/** Longest wait until all entries use a new version, in milliseconds. */
const barrierTimeoutMs = 6000;
const lookupTimeoutMs = 100;
const maxAttempts = 8;

/** Applies, rolls back and looks up changes to the settings. */
export class SettingsChanges {
	static create(options: SettingsChangesOptions): SettingsChanges {
		return new SettingsChanges(options);
	}

	readonly #options: SettingsChangesOptions;

	private constructor(options: SettingsChangesOptions) {
		this.#options = options;
	}

	/**
	 * Applies a whole tree. A repeated change id returns the outcome of the earlier change.
	 *
	 * @throws {IssuesError} if the tree is invalid.
	 * @throws {VerdictError} if the platform does not reply; `findChange` then reports whether the change was committed.
	 */
	async apply(request: SettingsRequest, requester: Requester, action = 'settings.apply'): Promise<SettingsOutcome> {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const earlier = await this.#findEarlierChange(request);
			if (earlier !== undefined) {
				return this.#waitInForce(earlier, barrierTimeoutMs);
			}

			const outcome = await this.#tryApply(request, requester, action);
			if (outcome !== undefined) {
				return outcome;
			}
		}

		throw new VerdictError('the settings are changed by others all the time', {verdict: 'not-run', code: 'settings_busy'});
	}

	/** Applies the tree of an earlier version as a new version. */
	async rollback(toVersion: number, request: Omit<SettingsRequest, 'tree'>, requester: Requester): Promise<SettingsOutcome> {
		return this.apply({...request, tree: await this.#options.store.readVersion(toVersion)}, requester, 'settings.rollback');
	}

	/** Finds an accepted change and reports whether all entries use it. */
	async findChange(changeId: ChangeId): Promise<SettingsOutcome | undefined> {
		const row = await this.#options.store.findChange(changeId);
		return row === undefined ? undefined : this.#waitInForce(row, lookupTimeoutMs);
	}

	async #findEarlierChange({changeId, tree}: SettingsRequest): Promise<SettingsChangeRow | undefined> {
		const earlier = await this.#options.store.findChange(changeId);
		if (earlier !== undefined && earlier.requestHash !== hashTree(tree)) {
			throw createIssuesError([{code: 'change_id_reused', path: ['changeId'], message: `change "${changeId}" was made with another tree`}]);
		}

		return earlier;
	}

	/** Tries once to apply a change. Returns `undefined` if a concurrent change was committed first. */
	async #tryApply(request: SettingsRequest, requester: Requester, action: string): Promise<SettingsOutcome | undefined> {
		const before = await this.#options.store.readCurrent();
		const plan = await this.#plan(request, requester, before, action);
		if ('status' in plan) {
			return plan;
		}

		const paths = plan.changes.map(({path}) => formatTreePath(path));
		const {changeId} = request;
		if (request.isDryRun === true || paths.length === 0) {
			return {
				status: 'checked', changeId, version: before.version, paths,
			};
		}

		const change = this.#createChange(request, requester, before, paths);
		const origins = createOrigins({
			before: await this.#options.store.readOrigins(), plan, change, places: request.places ?? {},
		});
		const entry = createAuditEntry(request, requester, {action, outcome: 'accepted', changes: plan.changes});
		const isCommitted = await this.#commit(entry, before, change, plan.tree, origins);
		return isCommitted ? this.#waitInForce(change, barrierTimeoutMs, plan.tree) : undefined;
	}

	/** Commits a change. If the reply is lost, looks up the change id to find out whether the commit succeeded. */
	async #commit(entry: AuditEntry, before: StoredSettings, change: SettingsChangeRow, tree: SettingsTree, origins: SettingsOrigins): Promise<boolean> {
		const {audit, store} = this.#options;
		try {
			const outcome = await audit.commitAudited(entry, async () => store.createWrites(before, change, tree, origins));
			return outcome.status === 'committed';
		} catch (error) {
			if (!(error instanceof VerdictError) || error.verdict === 'not-run') {
				throw error;
			}

			return await store.findChange(change.changeId) !== undefined;
		}
	}

	/** Computes the tree to commit, or the reason why the change is refused. */
	async #plan(request: SettingsRequest, requester: Requester, before: StoredSettings, action: string): Promise<ChangePlan | Refusal> {
		const recordRefusal = async (outcome: AuditOutcome, changes: readonly TreeChange[], detail: string): Promise<void> => {
			await this.#options.audit.record(createAuditEntry(request, requester, {
				action, outcome, changes, detail,
			}));
		};

		const proposed = await this.#parse(request.tree, recordRefusal);
		const base = request.baseVersion === before.version ? before.tree : await this.#readBase(request.baseVersion);
		const ownChanges = diffTrees(base ?? {}, proposed);
		const concurrentChanges = request.baseVersion === before.version ? [] : diffTrees(base ?? {}, before.tree ?? {});
		const overlappingPaths = findOverlaps(ownChanges, concurrentChanges);
		const isDisjoint = overlappingPaths.length === 0;
		if (concurrentChanges.length > 0 && !(isDisjoint && request.isRebased === true)) {
			await recordRefusal('conflict', ownChanges, `version ${before.version} came first`);
			const paths = (isDisjoint ? concurrentChanges.map(({path}) => path) : overlappingPaths).map(path => formatTreePath(path));
			return {
				status: 'conflict', version: before.version, paths, isDisjoint,
			};
		}

		const tree = concurrentChanges.length === 0 ? proposed : await this.#parse(applyChanges(before.tree ?? {}, ownChanges), recordRefusal);
		const changes = diffTrees(before.tree ?? {}, tree);
		const forbidden = changes.filter(({path}) => !isPathCovered(requester.rights, path)).map(({path}) => formatTreePath(path));
		if (forbidden.length > 0) {
			await recordRefusal('refused', changes, 'the operator may not change these paths');
			return {status: 'forbidden', paths: forbidden};
		}

		return {tree, changes};
	}

	async #readBase(version: number): Promise<SettingsTree | undefined> {
		return version === 0 ? undefined : this.#options.store.readVersion(version);
	}

	async #parse(json: unknown, recordRefusal: (outcome: AuditOutcome, changes: readonly TreeChange[], detail: string) => Promise<void>): Promise<SettingsTree> {
		const parsed = safeParseTree(json);
		const issues: readonly Issue[] = parsed.success ? checkPoolRemovals(parsed.data, this.#options.countVms()) : parsed.error.issues;
		if (parsed.success && issues.length === 0) {
			return parsed.data;
		}

		const error = createIssuesError(issues);
		await recordRefusal('refused', [], error.message);
		throw error;
	}

	#createChange(request: SettingsRequest, {operator}: Requester, before: StoredSettings, paths: readonly string[]): SettingsChangeRow {
		return {
			changeId: request.changeId,
			version: before.version + 1,
			baseVersion: request.baseVersion,
			operator,
			at: Math.round(this.#options.clock.readWall()),
			why: request.why,
			requestHash: hashTree(request.tree),
			paths,
		};
	}

	async #waitInForce({changeId, version, paths}: SettingsChangeRow, timeoutMs: number, tree?: SettingsTree): Promise<SettingsOutcome> {
		const {view, barrier, store} = this.#options;
		if (view.version < version) {
			view.acceptTree(version, tree ?? await store.readVersion(version));
		}

		const isInForce = await barrier.waitForVersion('settings', version, timeoutMs);
		return {
			status: isInForce ? 'in-force' : 'pending', changeId, version, paths,
		};
	}
}

function createAuditEntry(request: SettingsRequest, {operator, address}: Requester, options: {readonly action: string; readonly outcome: AuditOutcome; readonly changes: readonly TreeChange[]; readonly detail?: string}): AuditEntry {
	const {changes, ...rest} = options;
	return {
		...rest,
		operator,
		address,
		why: request.why,
		changeId: request.changeId,
		changes: changes.map(({path, before, after}) => ({path: formatTreePath(path), before, after})),
	};
}

type OriginOptions = {
	readonly before: SettingsOrigins;
	readonly plan: ChangePlan;
	readonly change: SettingsChangeRow;
	readonly places: Readonly<Record<string, SourceLocation>>;
};

/** Computes the origin of each value. Unchanged values keep their earlier version and operator. */
function createOrigins({before, plan, change, places}: OriginOptions): SettingsOrigins {
	const changed = plan.changes.map(({path}) => path);
	const isChanged = (path: TreePath): boolean => changed.some(changedPath => isPathCovered([formatTreePath(changedPath)], path));
	return Object.fromEntries(listLeaves(plan.tree).map(({path}) => {
		const formattedPath = formatTreePath(path);
		const unchangedOrigin = isChanged(path) ? undefined : before[formattedPath];
		const {operator, version, at} = unchangedOrigin ?? change;
		return [formattedPath, {
			...unchangedOrigin, ...places[formattedPath], operator, version, at,
		}];
	}));
}
