import { ByteBudget } from "@jujubeladder/utils";

/** A fifth of the memory of a small machine, which has 178 MB. */
const MAX_RESPONSE_MEMORY_BYTES = 32 * 1_048_576;

/** Memory of all large responses that this process is buffering. */
export const RESPONSE_MEMORY = new ByteBudget(MAX_RESPONSE_MEMORY_BYTES);
