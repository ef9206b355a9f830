/**
 * Default values of services and pools, used where the tree sets none.
 */
import {type PoolValues, type ServiceValues} from './schemas.js';

const mebibyte = 1024 * 1024;
const dayMs = 24 * 60 * 60 * 1000;

export const defaultServiceValues: ServiceValues = {
	deadlineMs: 30_000,
	maxDeadlineMs: 600_000,
	defaultClass: 'interactive',
	maxBodyBytes: 64 * mebibyte,
	claims: 'required',
	keyRetentionMs: 7 * dayMs,
	maxAttempts: 3,
	retryBudget: 0.1,
	requestIdEcho: 'optional',
};

export const defaultPoolValues: PoolValues = {
	slotsPerVm: 8,
	connectionsPerVm: 64,
	maxSetAside: 0.25,
	isSpare: false,
	budget: {maxUnavailable: 1, maxZones: 1, maxPerRack: 4},
	shares: {
		urgent: {weight: 4, floor: 0.25},
		interactive: {weight: 2, floor: 0.25},
		batch: {weight: 1, floor: 0.1},
	},
};
