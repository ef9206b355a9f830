/**
 * `tamarackwind audit`: lists and verifies the audit trail of changes and attempts.
 */
import process from 'node:process';
import {VerdictError} from '@tamarackwind/core';
import {type Argv, type CommandModule} from 'yargs';
import {
	callOperatorPort, printRows, runCommand, withOperatorOptions, type OperatorOptions,
} from './operator-clients.js';

type AuditOptions = OperatorOptions & {readonly path?: string; readonly operator?: string; readonly since?: string; readonly until?: string; readonly limit: number; readonly verify?: boolean};

type AuditRow = {
	readonly sequence: number;
	readonly at: number;
	readonly operator: string;
	readonly address: string;
	readonly action: string;
	readonly outcome: string;
	readonly why?: string;
	readonly detail?: string;
	readonly changes: ReadonlyArray<{readonly path: string; readonly before?: unknown; readonly after?: unknown}>;
};

function parseTime(name: string, text: string): string {
	const time = Date.parse(text);
	if (Number.isNaN(time)) {
		throw new VerdictError(`--${name}: found "${text}", expected a time such as 2026-12-04T10:00:00Z`, {verdict: 'not-run', code: 'bad_input'});
	}

	return String(time);
}

function formatQuery({path, operator, since, until, limit}: AuditOptions): string {
	const query = new URLSearchParams({
		limit: String(limit),
		...(path === undefined ? {} : {path}),
		...(operator === undefined ? {} : {operator}),
		...(since === undefined ? {} : {since: parseTime('since', since)}),
		...(until === undefined ? {} : {until: parseTime('until', until)}),
	});
	return query.toString();
}

async function verifyTrail(options: AuditOptions): Promise<void> {
	const {records, fault} = await callOperatorPort<{records: number; fault?: string}>(options, 'GET', '/v1/audit/verify');
	if (fault !== undefined) {
		throw new VerdictError(`the audit trail was tampered with: ${fault}`, {verdict: 'not-run', code: 'audit_broken'});
	}

	process.stdout.write(options.json ? `${JSON.stringify({records})}\n` : `${records} records form an unbroken hash chain\n`);
}

export const auditCommand: CommandModule<Record<string, unknown>, AuditOptions> = {
	command: 'audit',
	describe: 'List the changes and attempts of operators, newest first',
	builder: yargs => withOperatorOptions(yargs)
		.option('path', {type: 'string', describe: 'Only changes at or below this path'})
		.option('operator', {type: 'string', describe: 'Only attempts of this operator'})
		.option('since', {type: 'string', describe: 'Only attempts from this time on'})
		.option('until', {type: 'string', describe: 'Only attempts up to this time'})
		.option('limit', {type: 'number', default: 100, describe: 'Maximum number of records to list'})
		.option('verify', {type: 'boolean', describe: 'Verify that no record was edited or removed'})
		.example('$0 audit --path deployments.fixture.pools.north', 'List the attempts that touched a pool')
		.example('$0 audit --verify', 'Verify the hash chain of the records') as unknown as Argv<AuditOptions>,
	async handler(options) {
		await runCommand(async () => {
			if (options.verify) {
				await verifyTrail(options);
				return;
			}

			const records = await callOperatorPort<AuditRow[]>(options, 'GET', `/v1/audit?${formatQuery(options)}`);
			if (options.json) {
				printRows(records, options);
				return;
			}

			printRows(records.flatMap(({sequence, at, operator, address, action, outcome, why, detail, changes}) =>
				(changes.length === 0 ? [{path: '', before: undefined, after: undefined}] : changes).map(({path, before, after}) => ({
					sequence, at: new Date(at).toISOString(), operator, address, action, outcome, path, before: before ?? '', after: after ?? '', why: why ?? detail ?? '',
				}))), options);
		});
	},
};
