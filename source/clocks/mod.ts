/**
 * Clock readings and their age.
 *
 * @module
 */

export * from './clock.ts';
