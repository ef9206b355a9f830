/**
 * Checks of a configuration before it is sent: what can never match, limits that contradict each other, and differences to another version.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Resources} from '@tamarackwind/scheduling';
import {AccountDirectory} from './account-directories.js';
import {minAccountWeight, type ClientAccount} from './accounts.js';
import {type Configuration, type Pool, type Queue} from './configurations.js';

/** Keys from the root of a configuration; a finding about one version has indices of lists, a difference has names instead. */
export type FindingPath = ReadonlyArray<string | number>;

type FindingLocation = {readonly path: FindingPath; readonly message: string};

/**
 * - `form`: entries reject the configuration.
 * - `version`: entries ignore the configuration because of its version.
 * - `unmatched`: an item that no request or task ever matches.
 * - `contradiction`: limits that contradict each other.
 * - `adjustment`: entries use another value than the one written.
 * - `difference`: a difference to the other version.
 */
export type ConfigurationFinding
	= | (FindingLocation & {readonly kind: 'form' | 'version'; readonly severity: 'error'})
		| (FindingLocation & {readonly kind: 'unmatched' | 'contradiction' | 'adjustment' | 'size'; readonly severity: 'warning'})
		| (FindingLocation & {readonly kind: 'difference'; readonly severity: 'notice'; readonly change: DifferenceChange});

/** `moved` is said of a queue whose pool, host or path prefix differs. */
export type DifferenceChange = 'added' | 'removed' | 'moved' | 'lowered' | 'raised' | 'changed';

/** A cap below this holds up every task that uses a whole core, in thousandths of a core. */
const minUsefulCpuCap = 1000;
/** Digits of a key's hash that identify it in a message. */
const shownHashDigits = 12;

/** Length of the longest severity, by which lists are aligned. */
const severityWidth = 'warning'.length;
/** A key that is shown without quotes. */
const plainKeyPattern = /^[\w\-]+$/v;

const resourceUnits: Readonly<Record<keyof Resources, string>> = {cpu: 'thousandths of a core', memory: 'MB', gpu: 'accelerators'};

/** Checks one configuration that has been decoded. */
export function checkConfiguration(configuration: Configuration): ConfigurationFinding[] {
	return [...checkVersion(configuration), ...checkQueues(configuration), ...checkAccounts(configuration), ...checkLimits(configuration)];
}

/** Lists the differences of meaning between two versions; the order of lists and of keys has none. */
export function diffConfigurations(before: Configuration, after: Configuration): ConfigurationFinding[] {
	const differences = [...diffAccountLists(before, after), ...diffQueueLists(before, after), ...diffPoolLists(before, after), ...diffFields(['limits'], 'limit', before.limits, after.limits)];
	// Entries apply only a version above the one in force.
	const isIgnored = after.version < before.version || (after.version === before.version && differences.length > 0);
	return isIgnored
		? [{
			kind: 'version', severity: 'error', path: ['version'], message: `version ${after.version} is not above ${before.version}; entries ignore it`,
		}, ...differences]
		: differences;
}

function createWarning(kind: 'unmatched' | 'contradiction', path: FindingPath, message: string): ConfigurationFinding {
	return {
		kind, severity: 'warning', path, message,
	};
}

function createDifference(change: DifferenceChange, path: FindingPath, message: string): ConfigurationFinding {
	return {
		kind: 'difference', severity: 'notice', change, path, message,
	};
}

/**
 * Formats a finding on one line.
 *
 * @example
 * formatFinding({kind: 'version', severity: 'error', path: ['version'], message: 'version -1 is negative; entries ignore it'});
 * // 'error   version: version -1 is negative; entries ignore it'
 */
export function formatFinding({severity, path, message}: ConfigurationFinding): string {
	const location = path.length === 0 ? '' : `${path.map(key => formatKey(key)).join('.')}: `;
	return `${severity.padEnd(severityWidth)} ${location}${message}`;
}

function formatKey(key: string | number): string {
	return typeof key === 'number' || plainKeyPattern.test(key) ? String(key) : formatItemName(key);
}

/** Quotes a name and escapes its control and format characters, which could change the terminal's state. */
export function formatItemName(name: string): string {
	return JSON.stringify(name).replaceAll(/\p{C}/gv, character => String.raw`\u{${character.codePointAt(0)!.toString(16)}}`);
}

function formatValue(value: unknown): string {
	return value === undefined ? 'none' : JSON.stringify(value);
}

function checkVersion({version}: Configuration): ConfigurationFinding[] {
	return version < 0
		? [{
			kind: 'version', severity: 'error', path: ['version'], message: `version ${version} is negative; entries ignore it`,
		}]
		: [];
}

function checkQueues({queues, pools}: Configuration): ConfigurationFinding[] {
	const findings: ConfigurationFinding[] = [];
	const firstQueues = new Map<string, Queue>();
	const poolNames = new Set(pools.map(({name}) => name));
	for (const [index, queue] of queues.entries()) {
		const {
			name, host, pathPrefix, service, timeoutMs, policy: {targetLatencyMs, maxAttempts},
		} = queue;
		const place = JSON.stringify([host, pathPrefix]);
		const first = firstQueues.get(place);
		if (first === undefined) {
			firstQueues.set(place, queue);
		} else {
			findings.push(createWarning('unmatched', ['queues', index], `queue ${formatItemName(name)} is hidden by ${formatItemName(first.name)}, which has the same host and path prefix`));
		}

		if (pathPrefix !== '' && !pathPrefix.startsWith('/')) {
			findings.push(createWarning('unmatched', ['queues', index, 'pathPrefix'], `no path begins with the prefix of queue ${formatItemName(name)}, as it does not begin with "/"`));
		}

		if (!poolNames.has(service)) {
			findings.push(createWarning('unmatched', ['queues', index, 'service'], `queue ${formatItemName(name)} goes to pool ${formatItemName(service)}, which does not exist; its jobs never run`));
		}

		if (timeoutMs > 0 && timeoutMs < targetLatencyMs) {
			findings.push(createWarning('contradiction', ['queues', index, 'timeoutMs'], `deadline of queue ${formatItemName(name)}, ${timeoutMs} ms, is under its latency objective, ${targetLatencyMs} ms`));
		}

		if (maxAttempts < 1) {
			findings.push(createWarning('contradiction', ['queues', index, 'policy', 'maxAttempts'], `queue ${formatItemName(name)} allows ${maxAttempts} attempts; its jobs fail at the first failure, as with 1`));
		}
	}

	return findings;
}

function checkAccounts({accounts, queues}: Configuration): ConfigurationFinding[] {
	if (accounts === undefined) {
		return [];
	}

	const findings: ConfigurationFinding[] = [];
	const isAnyQueueOpen = queues.some(({isOpen}) => isOpen);
	if (accounts.length === 0 && !isAnyQueueOpen) {
		findings.push(createWarning('unmatched', ['accounts'], 'there are no accounts and no open queues; every request is refused'));
	}

	for (const [index, {name, keyHashes, weight, cap}] of accounts.entries()) {
		if (keyHashes.length === 0 && !isAnyQueueOpen) {
			findings.push(createWarning('unmatched', ['accounts', index, 'keyHashes'], `account ${formatItemName(name)} has no keys, and no queue is open; it can submit nothing`));
		}

		if (!(weight >= minAccountWeight)) {
			findings.push(createWarning('contradiction', ['accounts', index, 'weight'], `weight of account ${formatItemName(name)} is ${weight}; the smallest is ${minAccountWeight}`));
		}

		if (cap.cpu > 0 && cap.cpu < minUsefulCpuCap) {
			findings.push(createWarning('contradiction', ['accounts', index, 'cap', 'cpu'], `cap of account ${formatItemName(name)} is ${cap.cpu} ${resourceUnits.cpu}, which is less than one core`));
		}
	}

	for (const names of AccountDirectory.create(accounts).conflicts) {
		findings.push(createWarning('unmatched', ['accounts'], `accounts ${names.map(name => formatItemName(name)).join(', ')} have a key in common, which counts for none of them`));
	}

	return findings;
}

function checkLimits({limits: {maxBodyBytes}}: Configuration): ConfigurationFinding[] {
	return maxBodyBytes < 1 ? [createWarning('contradiction', ['limits', 'maxBodyBytes'], `body limit is ${maxBodyBytes}; every submission is refused`)] : [];
}

/** Items by name. The codec does not require unique names of queues, so a further item of the same name gets its number. */
function groupByName<Item extends {readonly name: string}>(items: readonly Item[]): Map<string, Item> {
	const byName = new Map<string, Item>();
	const counts = new Map<string, number>();
	for (const item of items) {
		const count = (counts.get(item.name) ?? 0) + 1;
		counts.set(item.name, count);
		byName.set(count === 1 ? item.name : JSON.stringify([item.name, count]), item);
	}

	return byName;
}

type ListDescription<Item> = {
	readonly key: string;
	readonly noun: string;
	readonly diffItem: (path: FindingPath, before: Item, after: Item) => ConfigurationFinding[];
};

function diffLists<Item extends {readonly name: string}>(before: readonly Item[], after: readonly Item[], {key, noun, diffItem}: ListDescription<Item>): ConfigurationFinding[] {
	const oldItems = groupByName(before);
	const newItems = groupByName(after);
	const findings: ConfigurationFinding[] = [];
	for (const [id, {name}] of oldItems) {
		if (!newItems.has(id)) {
			findings.push(createDifference('removed', [key, name], `${noun} ${formatItemName(name)} is removed`));
		}
	}

	for (const [id, item] of newItems) {
		const oldItem = oldItems.get(id);
		findings.push(...(oldItem === undefined
			? [createDifference('added', [key, item.name], `${noun} ${formatItemName(item.name)} is added`)]
			: diffItem([key, item.name], oldItem, item)));
	}

	return findings;
}

function diffAccountLists({accounts: before}: Configuration, {accounts: after}: Configuration): ConfigurationFinding[] {
	const findings: ConfigurationFinding[] = [];
	if (before === undefined && after !== undefined) {
		findings.push(createDifference('added', ['accounts'], 'requests to queues that are not open need a key from now on'));
	} else if (before !== undefined && after === undefined) {
		findings.push(createDifference('removed', ['accounts'], 'requests are no longer checked: no request needs a key'));
	}

	return [...findings, ...diffLists(before ?? [], after ?? [], {key: 'accounts', noun: 'account', diffItem: diffAccounts})];
}

function diffAccounts(path: FindingPath, before: ClientAccount, after: ClientAccount): ConfigurationFinding[] {
	const findings: ConfigurationFinding[] = [];
	const account = `account ${formatItemName(after.name)}`;
	const oldKeys = new Set(before.keyHashes);
	const newKeys = new Set(after.keyHashes);
	for (const keyHash of [...oldKeys].filter(hash => !newKeys.has(hash))) {
		findings.push(createDifference('removed', [...path, 'keyHashes'], `key of ${account} with hash ${keyHash.slice(0, shownHashDigits)} is revoked`));
	}

	for (const keyHash of [...newKeys].filter(hash => !oldKeys.has(hash))) {
		findings.push(createDifference('added', [...path, 'keyHashes'], `key of ${account} with hash ${keyHash.slice(0, shownHashDigits)} is added`));
	}

	if (before.weight !== after.weight) {
		findings.push(createDifference(after.weight < before.weight ? 'lowered' : 'raised', [...path, 'weight'], `weight of ${account} changes from ${before.weight} to ${after.weight}`));
	}

	for (const [dimension, unit] of Object.entries(resourceUnits) as Array<[keyof Resources, string]>) {
		findings.push(...diffCaps([...path, 'cap', dimension], {account, unit}, before.cap[dimension], after.cap[dimension]));
	}

	return findings;
}

function diffCaps(path: FindingPath, {account, unit}: {readonly account: string; readonly unit: string}, before: number, after: number): ConfigurationFinding[] {
	if (before === after) {
		return [];
	}

	// 0 means no limit, so it is above every other cap.
	const isLowered = after !== 0 && (before === 0 || after < before);
	const step = `from ${formatCap(before)} to ${formatCap(after)} ${unit}`;
	return [isLowered
		? createDifference('lowered', path, `cap of ${account} is lowered ${step}; running tasks stay, and starts wait until its use is below the cap`)
		: createDifference('raised', path, `cap of ${account} is raised ${step}`)];
}

function formatCap(cap: number): string {
	return cap === 0 ? 'no limit' : String(cap);
}

function diffQueueLists({queues: before}: Configuration, {queues: after}: Configuration): ConfigurationFinding[] {
	return diffLists(before, after, {key: 'queues', noun: 'queue', diffItem: diffQueues});
}

function diffQueues(path: FindingPath, before: Queue, after: Queue): ConfigurationFinding[] {
	const findings: ConfigurationFinding[] = [];
	const queue = `queue ${formatItemName(after.name)}`;
	for (const [field, noun] of [['service', 'pool'], ['host', 'host'], ['pathPrefix', 'path prefix']] as const) {
		if (before[field] !== after[field]) {
			findings.push(createDifference('moved', [...path, field], `${queue} moves from ${noun} ${formatItemName(before[field])} to ${formatItemName(after[field])}`));
		}
	}

	const isOpen = after.isOpen ?? false;
	if ((before.isOpen ?? false) !== isOpen) {
		findings.push(createDifference('changed', [...path, 'isOpen'], isOpen ? `${queue} is opened: its requests need no key` : `${queue} is closed: its requests need a key`));
	}

	return [
		...findings,
		...diffFields(path, `field of ${queue}`, {timeoutMs: before.timeoutMs}, {timeoutMs: after.timeoutMs}),
		...diffFields([...path, 'policy'], `field of ${queue}`, before.policy, after.policy),
	];
}

function diffPoolLists({pools: before}: Configuration, {pools: after}: Configuration): ConfigurationFinding[] {
	return diffLists(before, after, {key: 'pools', noun: 'pool', diffItem: diffPools});
}

function diffPools(path: FindingPath, before: Pool, after: Pool): ConfigurationFinding[] {
	const pool = `pool ${formatItemName(after.name)}`;
	return before.isSpare === after.isSpare ? [] : [createDifference('changed', [...path, 'isSpare'], after.isSpare ? `${pool} becomes spare: its VMs are switched off` : `${pool} is no longer spare`)];
}

/** Compares all fields, also those that a later version of the types adds. */
function diffFields(path: FindingPath, noun: string, before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): ConfigurationFinding[] {
	const oldFields = new Map(Object.entries(before));
	const newFields = new Map(Object.entries(after));
	return [...new Set([...oldFields.keys(), ...newFields.keys()])]
		.filter(field => !isDeepStrictEqual(oldFields.get(field), newFields.get(field)))
		.map(field => createDifference('changed', [...path, field], `${noun} ${formatItemName(field)} changes from ${formatValue(oldFields.get(field))} to ${formatValue(newFields.get(field))}`));
}
