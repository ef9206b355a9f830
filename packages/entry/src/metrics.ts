/**
 * The metrics port: metrics for monitoring, and health checks for the load balancer.
 */
import {Hono} from 'hono';
import {collectDefaultMetrics, Counter, type Registry} from 'prom-client';
import {type EntryContext} from './contexts.js';

/** Creates the app of the metrics port; `isDraining` reports whether the entry is shutting down. */
export function createMetricsApp({registry, settings, fleet, lease}: EntryContext, isDraining: () => boolean): Hono {
	collectDefaultMetrics({register: registry});
	const app = new Hono();
	app.get('/metrics', async c => c.text(await registry.metrics(), 200, {'content-type': registry.contentType}));
	app.get('/healthz', c => c.text('ok'));
	app.get('/readyz', c => {
		if (isDraining()) {
			return c.text('entry is stopping', 503);
		}

		if (settings.current === undefined) {
			return c.text('settings were not read yet', 503);
		}

		if (!fleet.isLoaded) {
			return c.text('the fleet was not read yet', 503);
		}

		return lease.isValid() ? c.text('ok') : c.text('neither the platform nor a majority of the entries confirms the view', 503);
	});
	return app;
}

/** Registers a counter whose value is read on each scrape. */
export function registerCounter(registry: Registry, name: string, help: string, readTotal: () => number): void {
	registry.registerMetric(new Counter({
		name,
		help,
		registers: [],
		collect() {
			this.reset();
			this.inc(readTotal());
		},
	}));
}
