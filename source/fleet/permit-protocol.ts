/**
 * The gRPC call by which a gateway requests a permit from the one that grants them.
 *
 * @module
 */
import {permitReplySchema, permitRequestSchema} from '../limits/permit-message.ts';
import {jsonMethod} from './json-codec.ts';

/** Definition of the gRPC method. */
export const permitMethod = jsonMethod('/azuretack.Fleet/Permit', permitRequestSchema, permitReplySchema);
