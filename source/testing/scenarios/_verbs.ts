/**
 * Every word of the scenario language, by what it acts on.
 *
 * @module
 */
import {answerExpectations} from './_answer-expectations.ts';
import {fleetExpectations} from './_fleet-expectations.ts';
import {platformActions} from './_platform-actions.ts';
import {processActions} from './_process-actions.ts';
import {requestActions} from './_request-actions.ts';
import {type Verbs} from './_verb.ts';

/** Words after `do`. */
export const actions: Verbs = {...processActions, ...platformActions, ...requestActions};

/** Words after `expect`. */
export const expectations: Verbs = {...answerExpectations, ...fleetExpectations};
