/**
 * The operator port: a JSON API for the command line and for scripts.
 */
import {IssuesError, VerdictError, readErrorMessage} from '@tamarackwind/core';
import {convertSchemaIssues} from '@tamarackwind/settings';
import {Hono} from 'hono';
import * as z from 'zod';
import {type EntryContext} from './contexts.js';
import {addFleetRoutes} from './fleet-routes.js';
import {type FleetService} from './fleet-services.js';
import {createOperatorJobRoutes} from './job-routes.js';
import {type JobService} from './job-services.js';
import {
	createOperatorGuard, requireFleetRight, type OperatorContext, type OperatorEnv,
} from './operator-identities.js';
import {createSettingsRoutes} from './settings-routes.js';

/** Services of an entry that operators use. */
export type OperatorServices = {readonly fleetService: FleetService; readonly jobs: JobService};

/** Creates the app of the operator port, with all routes under /v1. */
export function createOperatorApp(ctx: EntryContext, {fleetService, jobs}: OperatorServices): Hono<OperatorEnv> {
	const app = new Hono<OperatorEnv>();
	app.onError((error, c) => sendError(error, c as OperatorContext));
	app.use('/v1/*', createOperatorGuard({
		settings: ctx.settings, registry: ctx.registry, audit: ctx.audit, bootstrapHash: ctx.config.operatorTokenHash,
	}));
	app.get('/v1/status', c => c.json(describeStatus(ctx)));
	app.route('/v1', createSettingsRoutes({store: ctx.settingsStore, changes: ctx.settingsChanges, audit: ctx.audit}));
	addFleetRoutes(app, {ctx, commands: fleetService.commands, authorizeChange: () => requireFleetRight(ctx.config.deployment)});
	app.route('/v1/jobs', createOperatorJobRoutes(ctx, jobs));
	return app;
}

function sendError(error: Error, c: OperatorContext): Response {
	if (error instanceof IssuesError) {
		return c.json({code: 'bad_input', message: error.message, issues: error.issues}, 400);
	}

	if (error instanceof z.ZodError) {
		const issues = convertSchemaIssues(z.unknown(), error.issues);
		return c.json({code: 'bad_input', message: error.message, issues}, 400);
	}

	if (error instanceof SyntaxError) {
		return c.json({code: 'bad_input', message: `body is not JSON: ${error.message}`}, 400);
	}

	if (error instanceof VerdictError) {
		const status = error.code.startsWith('unknown_') ? 404 : 503;
		return c.json({code: error.code, message: error.message, verdict: error.verdict}, status);
	}

	return c.json({code: 'internal', message: readErrorMessage(error)}, 500);
}

function describeStatus({config, versions, bus, barrier, lease, membership}: EntryContext): Record<string, unknown> {
	const live = new Set(bus.listPeers().map(({entryId}) => entryId));
	return {
		entryId: config.entryId,
		deployment: config.deployment,
		zone: config.zone,
		settingsVersion: versions.getVersion('settings'),
		fleetVersion: versions.getVersion('fleet'),
		membersVersion: versions.getVersion('members'),
		isCurrent: lease.isValid(),
		isMembershipSettled: membership.current.sets.length === 1,
		members: membership.current.sets.at(-1)!.map(({entryId}) => ({
			entryId,
			isLive: entryId === bus.self.entryId || live.has(entryId),
			...(entryId === bus.self.entryId
				? {settings: versions.getVersion('settings'), fleet: versions.getVersion('fleet')}
				: {settings: barrier.reportedVersions.get(entryId)?.settings ?? 0, fleet: barrier.reportedVersions.get(entryId)?.fleet ?? 0}),
		})),
	};
}
