/**
 * Changes of the settings tree: from an operator's tree to a version in force.
 */
import {
	VerdictError, createIssuesError, type ChangeId, type Clock, type Issue,
} from '@tamarackwind/core';
import {type VersionBarrier} from '@tamarackwind/peer';
import {
	applyChanges, checkPoolsKept, diffTrees, findOverlaps, formatTreePath, isCovered, listLeaves, safeParseTree,
	type PoolCounts, type SettingsTree, type TreeChange, type TreePath,
} from '@tamarackwind/settings';
import {type AuditEntry, type AuditLog, type AuditOutcome} from './audits.js';
import {type Requester} from './operator-identities.js';
import {
	hashTree, type SettingsChangeRow, type SettingsOrigins, type SettingsPlace, type SettingsStore, type StoredSettings,
} from './settings-stores.js';
import {type SettingsView} from './settings-views.js';

/** A whole tree that an operator sends. */
export type SettingsRequest = {
	readonly changeId: ChangeId;
	readonly baseVersion: number;
	readonly tree: unknown;
	/** Where each value stands in the operator's files, by the text of its path. */
	readonly places?: Readonly<Record<string, SettingsPlace>>;
	readonly why?: string;
	/** Whether changes elsewhere in the tree since the base version are kept. */
	readonly isRebased?: boolean;
	/** Whether the change is checked and not made. */
	readonly isDryRun?: boolean;
};

export type SettingsOutcome
	= | {readonly status: 'in-force' | 'pending' | 'checked'; readonly changeId: ChangeId; readonly version: number; readonly paths: readonly string[]}
		| {
			readonly status: 'conflict';
			readonly version: number;
			/** Paths that both changed; those that the other changed when `isDisjoint`. */
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
	/** VMs of each pool now. */
	readonly countVms: () => PoolCounts;
};

type Plan = {readonly tree: SettingsTree; readonly changes: readonly TreeChange[]};
type Refusal = Extract<SettingsOutcome, {readonly status: 'conflict' | 'forbidden'}>;

/** Longest wait for a change to be in force everywhere, in milliseconds. */
const barrierTimeoutMs = 6000;
const lookUpTimeoutMs = 100;
const maxAttempts = 8;

/** Makes changes of the settings. */
export class SettingsChanges {
	static create(options: SettingsChangesOptions): SettingsChanges {
		return new SettingsChanges(options);
	}

	readonly #options: SettingsChangesOptions;

	private constructor(options: SettingsChangesOptions) {
		this.#options = options;
	}

	/**
	 * Applies a whole tree. The same change id gives the same outcome again.
	 *
	 * @throws {IssuesError} when the tree has faults.
	 * @throws {VerdictError} when the platform does not answer; the change may then be found by its id.
	 */
	async apply(request: SettingsRequest, requester: Requester, action = 'settings.apply'): Promise<SettingsOutcome> {
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const known = await this.#findKnown(request);
			if (known !== undefined) {
				return this.#waitInForce(known, barrierTimeoutMs);
			}

			const outcome = await this.#try(request, requester, action);
			if (outcome !== undefined) {
				return outcome;
			}
		}

		throw new VerdictError('the settings are changed by others all the time', {verdict: 'not-run', code: 'settings_busy'});
	}

	/** Puts the tree of an earlier version in force again, as a new version. */
	async rollback(toVersion: number, request: Omit<SettingsRequest, 'tree'>, requester: Requester): Promise<SettingsOutcome> {
		return this.apply({...request, tree: await this.#options.store.readVersion(toVersion)}, requester, 'settings.rollback');
	}

	/** Finds an accepted change, and tells whether it is in force everywhere by now. */
	async findChange(changeId: ChangeId): Promise<SettingsOutcome | undefined> {
		const row = await this.#options.store.findChange(changeId);
		return row === undefined ? undefined : this.#waitInForce(row, lookUpTimeoutMs);
	}

	async #findKnown({changeId, tree}: SettingsRequest): Promise<SettingsChangeRow | undefined> {
		const known = await this.#options.store.findChange(changeId);
		if (known !== undefined && known.requestHash !== hashTree(tree)) {
			throw createIssuesError([{code: 'change_id_reused', path: ['changeId'], message: `change "${changeId}" was made with another tree`}]);
		}

		return known;
	}

	/** Makes one try; gives `undefined` when another change came first. */
	async #try(request: SettingsRequest, requester: Requester, action: string): Promise<SettingsOutcome | undefined> {
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
		const entry = createEntry(request, requester, {action, outcome: 'accepted', changes: plan.changes});
		const isCommitted = await this.#commit(entry, before, change, plan.tree, origins);
		return isCommitted ? this.#waitInForce(change, barrierTimeoutMs, plan.tree) : undefined;
	}

	/** Commits a change; a lost answer is found again by the change id. */
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

	/** Works out the tree to put in force, or why the change is refused. */
	async #plan(request: SettingsRequest, requester: Requester, before: StoredSettings, action: string): Promise<Plan | Refusal> {
		const refuse = async (outcome: AuditOutcome, changes: readonly TreeChange[], detail: string): Promise<void> => {
			await this.#options.audit.record(createEntry(request, requester, {
				action, outcome, changes, detail,
			}));
		};

		const proposed = await this.#parse(request.tree, refuse);
		const base = request.baseVersion === before.version ? before.tree : await this.#readBase(request.baseVersion);
		const mine = diffTrees(base ?? {}, proposed);
		const theirs = request.baseVersion === before.version ? [] : diffTrees(base ?? {}, before.tree ?? {});
		const overlaps = findOverlaps(mine, theirs);
		const isDisjoint = overlaps.length === 0;
		if (theirs.length > 0 && !(isDisjoint && request.isRebased === true)) {
			await refuse('conflict', mine, `version ${before.version} came first`);
			const paths = (isDisjoint ? theirs.map(({path}) => path) : overlaps).map(path => formatTreePath(path));
			return {
				status: 'conflict', version: before.version, paths, isDisjoint,
			};
		}

		const tree = theirs.length === 0 ? proposed : await this.#parse(applyChanges(before.tree ?? {}, mine), refuse);
		const changes = diffTrees(before.tree ?? {}, tree);
		const forbidden = changes.filter(({path}) => !isCovered(requester.rights, path)).map(({path}) => formatTreePath(path));
		if (forbidden.length > 0) {
			await refuse('refused', changes, 'the operator may not change these paths');
			return {status: 'forbidden', paths: forbidden};
		}

		return {tree, changes};
	}

	async #readBase(version: number): Promise<SettingsTree | undefined> {
		return version === 0 ? undefined : this.#options.store.readVersion(version);
	}

	async #parse(json: unknown, refuse: (outcome: AuditOutcome, changes: readonly TreeChange[], detail: string) => Promise<void>): Promise<SettingsTree> {
		const parsed = safeParseTree(json);
		const issues: readonly Issue[] = parsed.success ? checkPoolsKept(parsed.data, this.#options.countVms()) : parsed.error.issues;
		if (parsed.success && issues.length === 0) {
			return parsed.data;
		}

		const error = createIssuesError(issues);
		await refuse('refused', [], error.message);
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

function createEntry(request: SettingsRequest, {operator, address}: Requester, options: {readonly action: string; readonly outcome: AuditOutcome; readonly changes: readonly TreeChange[]; readonly detail?: string}): AuditEntry {
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
	readonly plan: Plan;
	readonly change: SettingsChangeRow;
	readonly places: Readonly<Record<string, SettingsPlace>>;
};

/** Values that did not change keep the version and operator that they came from. */
function createOrigins({before, plan, change, places}: OriginOptions): SettingsOrigins {
	const changed = plan.changes.map(({path}) => path);
	const isChanged = (path: TreePath): boolean => changed.some(one => isCovered([formatTreePath(one)], path));
	return Object.fromEntries(listLeaves(plan.tree).map(({path}) => {
		const text = formatTreePath(path);
		const known = isChanged(path) ? undefined : before[text];
		const {operator, version, at} = known ?? change;
		return [text, {
			...known, ...places[text], operator, version, at,
		}];
	}));
}
