/**
 * What operators' programs ask of the routers and the platform.
 *
 * @module
 */

export * from './describe-publication.ts';
export * from './operator-client.ts';
export * from './wait-until-in-force.ts';
