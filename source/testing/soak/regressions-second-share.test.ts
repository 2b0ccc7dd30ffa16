import {testCases} from './test-cases.ts';

await testCases({part: 1, parts: 3});
