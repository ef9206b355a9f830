/**
 * Hashes ids to numbers from 0 up to but not including 1, so that all entries decide alike without a message.
 */
import {createHash} from 'node:crypto';

const wordRange = 0x1_00_00_00_00;

/**
 * Hashes an id for a purpose; the fractions of one id for two purposes are independent.
 *
 * @example
 * const isAccepted = hashFraction('acceptance', '5c0e7a21d94b36f8') < share;
 */
export function hashFraction(purpose: string, id: string): number {
	return createHash('sha256').update(`${purpose}\n${id}`).digest().readUInt32LE() / wordRange;
}
