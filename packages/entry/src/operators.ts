/**
 * The operator port: a JSON interface for the command line and for scripts.
 */
import {Hono} from 'hono';
import {type EntryContext} from './contexts.js';
import {addFleetRoutes} from './fleet-routes.js';
import {requireFleetRight, type FleetPart} from './fleets.js';

/** Builds the app of the operator port; each concern adds its routes below /v1. */
export function createOperatorApp(ctx: EntryContext, fleetPart: FleetPart): Hono {
	const app = new Hono();
	app.get('/v1/status', c => c.json(describeStatus(ctx)));
	addFleetRoutes(app, {ctx, declarations: fleetPart.declarations, authorizeChange: c => requireFleetRight(ctx, c.req.header('authorization'))});
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
