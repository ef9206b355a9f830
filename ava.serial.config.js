/** Tests that measure what processes use or how they answer around a stop, one at a time and without other tests beside them. */
export const serialFiles = ['platform/dist/tests/caller-limits.test.js', 'platform/dist/tests/rolling-stops.test.js'];

const config = {
	files: serialFiles,
	timeout: '3m',
	workerThreads: false,
	concurrency: 1,
};

export default config;
