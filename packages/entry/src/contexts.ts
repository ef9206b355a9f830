/**
 * What the parts of an entry share.
 */
import {
	Log, SystemClock, SystemRandom, type Clock, type RandomSource,
} from '@tamarackwind/core';
import {FleetView} from '@tamarackwind/fleet';
import {SoleEntryLease, ViewVersions, type ViewLease} from '@tamarackwind/peer';
import {
	HttpObjectStore, HttpTableService, HttpTaskControl, HttpVmControl, HttpVmList, PlatformConnection,
	type ObjectStore, type TableService, type TaskControl, type VmControl, type VmList,
} from '@tamarackwind/platform';
import {Registry} from 'prom-client';
import {type EntryConfig} from './configs.js';
import {SettingsView} from './settings-views.js';

/** Clients of the platform's services. */
export type PlatformClients = {
	readonly tables: TableService;
	readonly objects: ObjectStore;
	readonly vmList: VmList;
	readonly vmControl: VmControl;
	readonly tasks: TaskControl;
};

/** The parts that an entry is made of. */
export type EntryContext = {
	readonly config: EntryConfig;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly registry: Registry;
	readonly platform: PlatformClients;
	readonly versions: ViewVersions;
	readonly settings: SettingsView;
	readonly fleet: FleetView;
	readonly lease: ViewLease;
	/** Closes the parts in order. */
	readonly close: () => Promise<void>;
};

/** Creates the parts of an entry. */
export function createEntryContext(config: EntryConfig): EntryContext {
	const clock = SystemClock.create();
	const log = Log.create({format: config.log.format, fields: {entry: config.entryId}});
	const connection = PlatformConnection.create({url: config.platform.url, timeoutMs: config.platform.timeoutMs});
	const platform = {
		tables: HttpTableService.create(connection),
		objects: HttpObjectStore.create(connection),
		vmList: HttpVmList.create(connection),
		vmControl: HttpVmControl.create(connection),
		tasks: HttpTaskControl.create(connection),
	};
	const versions = ViewVersions.create();
	const settings = SettingsView.create({
		clock, log, tables: platform.tables, versions, deployment: config.deployment,
	});
	const fleet = FleetView.create({
		clock, tables: platform.tables, vmList: platform.vmList, versions,
	});
	return {
		config,
		clock,
		random: SystemRandom.create(),
		log,
		registry: new Registry(),
		platform,
		versions,
		settings,
		fleet,
		lease: SoleEntryLease.create(),
		async close() {
			await settings.close();
			await fleet.close();
			await connection.close();
		},
	};
}
