/**
 * Leases and barriers that prevent entries from dispatching with outdated views of the settings, the fleet and the members.
 */

/** Versioned parts of an entry's view. */
export type ViewPart = 'settings' | 'fleet' | 'members';

/** Lease under which an entry may dispatch with its current view. */
export abstract class ViewLease {
	/** Reports whether this entry certainly knows the view in force. Called before each dispatch. */
	abstract isValid(): boolean;
}

/** Versions of the view that this entry uses; heartbeats carry them. */
export class ViewVersions {
	static create(): ViewVersions {
		return new ViewVersions();
	}

	readonly #versions: Record<ViewPart, number> = {settings: 0, fleet: 0, members: 0};
	readonly #listeners: Array<(part: ViewPart, version: number) => void> = [];

	getVersion(part: ViewPart): number {
		return this.#versions[part];
	}

	/** Raises the version of a part; ignores a lower or equal version. */
	setVersion(part: ViewPart, version: number): void {
		if (version > this.#versions[part]) {
			this.#versions[part] = version;
			for (const listener of this.#listeners) {
				listener(part, version);
			}
		}
	}

	/** Calls `listener` whenever a version is raised. */
	subscribe(listener: (part: ViewPart, version: number) => void): void {
		this.#listeners.push(listener);
	}
}

/** Waits until no entry can dispatch with an older view. */
export abstract class VersionBarrier {
	/** Resolves to `true` once every live entry uses `version` or cannot dispatch with an older one, and to `false` after `timeoutMs`. */
	abstract waitForVersion(part: ViewPart, version: number, timeoutMs: number): Promise<boolean>;
}

/** Lease of a deployment with a single entry; it is always valid, because no other entry can change the view. */
export class SingleEntryLease extends ViewLease {
	static create(): SingleEntryLease {
		return new SingleEntryLease();
	}

	override isValid(): boolean {
		return true;
	}
}

/** Barrier of a deployment with a single entry, which checks only its own versions. */
export class SingleEntryBarrier extends VersionBarrier {
	static create(versions: ViewVersions): SingleEntryBarrier {
		return new SingleEntryBarrier(versions);
	}

	readonly #versions: ViewVersions;

	private constructor(versions: ViewVersions) {
		super();
		this.#versions = versions;
	}

	override async waitForVersion(part: ViewPart, version: number): Promise<boolean> {
		return this.#versions.getVersion(part) >= version;
	}
}
