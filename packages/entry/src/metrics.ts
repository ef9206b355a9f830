/**
 * The metrics port: counters for monitoring, and health for the balancer.
 */
import {Hono} from 'hono';
import {collectDefaultMetrics} from 'prom-client';
import {type EntryContext} from './contexts.js';

/** Builds the app of the metrics port. */
export function createMetricsApp({registry, settings, fleet}: EntryContext): Hono {
	collectDefaultMetrics({register: registry});
	const app = new Hono();
	app.get('/metrics', async c => c.text(await registry.metrics(), 200, {'content-type': registry.contentType}));
	app.get('/healthz', c => c.text('ok'));
	app.get('/readyz', c => {
		if (settings.current === undefined) {
			return c.text('settings were not read yet', 503);
		}

		return fleet.isLoaded ? c.text('ok') : c.text('the fleet was not read yet', 503);
	});
	return app;
}
