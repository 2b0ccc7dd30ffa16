import {testMutations} from './test-mutations.ts';

testMutations({part: 1, parts: 2});
