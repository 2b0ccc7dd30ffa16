import {testCases} from './test-cases.ts';

await testCases({part: 2, parts: 3});
