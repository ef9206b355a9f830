/**
 * Writes the daemon settings of the nine entries and the VM list of both example deployments.
 */
import {writeFileSync} from 'node:fs';

const entryCount = 9;
const workersPerPool = 8;
const workersPerRack = 4;
const zoneCount = 4;

const deployments = [
	{
		name: 'fixture', network: '10.1', region: 'warsaw', cores: 64, memoryMb: 131_072, pools: ['league-north', 'league-south', 'league-east', 'league-west', 'office'],
	},
	{
		name: 'notebook', network: '10.2', region: 'riga', cores: 16, memoryMb: 65_536, pools: ['cells', 'risk', 'datasets', 'refresh', 'shared'],
	},
];

const fileOf = path => new URL(`../examples/${path}`, import.meta.url);
const toJson = value => `${JSON.stringify(value, undefined, '\t')}\n`;

function createEntryConfig({name, network, region}, index) {
	const host = `${network}.0.${index}`;
	return {
		entryId: `entry-${index}`,
		deployment: name,
		region,
		zone: `${region}-${((index - 1) % zoneCount) + 1}`,
		caller: {host, port: 8080},
		operator: {host, port: 8081},
		peer: {host, port: 8082},
		metrics: {host, port: 8083},
		platform: {url: `http://${network}.255.1:9000`},
		log: {format: 'json'},
		balancerDelayMs: 2000,
		shutdownTimeoutMs: 600_000,
	};
}

function createVms({name, network, region, cores, memoryMb, pools}) {
	const zone = index => `${region}-${(index % zoneCount) + 1}`;
	const base = {
		incarnation: '1', region, state: 'live', accelerators: 0,
	};
	const entries = Array.from({length: entryCount}, (_, index) => ({
		...base, vmId: `entry-${index + 1}`, kind: 'entry', address: `${network}.0.${index + 1}`, port: 8080, peerPort: 8082, zone: zone(index), rack: `${name}-entry-${zone(index)}`, cores: 2, memoryMb: 2048,
	}));
	const workers = pools.flatMap((pool, poolIndex) => Array.from({length: workersPerPool}, (_, index) => {
		const rack = Math.floor(index / workersPerRack);
		return {
			...base, vmId: `${pool}-${index + 1}`, kind: 'worker', address: `${network}.${poolIndex + 1}.${index + 1}`, port: 8000, zone: zone((poolIndex * 2) + rack), rack: `${pool}-rack-${rack + 1}`, pool, cores, memoryMb,
		};
	}));
	return [...entries, ...workers];
}

for (const deployment of deployments) {
	for (let index = 1; index <= entryCount; index++) {
		writeFileSync(fileOf(`${deployment.name}/entry-${index}.jsonc`), toJson(createEntryConfig(deployment, index)));
	}

	writeFileSync(fileOf(`${deployment.name}/vms.json`), toJson(createVms(deployment)));
}
