/**
 * The operator port: a JSON interface for the command line and for scripts.
 */
import {Hono} from 'hono';
import {type EntryContext} from './contexts.js';
import {createOperatorJobRoutes} from './job-routes.js';
import {type JobService} from './jobs.js';

/** Builds the app of the operator port; each concern adds its routes below /v1. */
export function createOperatorApp(ctx: EntryContext, jobs: JobService): Hono {
	const app = new Hono();
	app.get('/v1/status', c => c.json(describeStatus(ctx)));
	app.route('/v1/jobs', createOperatorJobRoutes(ctx, jobs));
	return app;
}

function describeStatus({config, versions}: EntryContext): Record<string, unknown> {
	return {
		entryId: config.entryId,
		deployment: config.deployment,
		zone: config.zone,
		settingsVersion: versions.getVersion('settings'),
		fleetVersion: versions.getVersion('fleet'),
	};
}
