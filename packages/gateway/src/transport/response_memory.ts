import { ByteBudget } from "@jujubeladder/utils";

/** Until an instance knows its machine's memory. */
const MAX_RESPONSE_MEMORY_BYTES = 32 * 1_048_576;

/** Memory of all large responses that this process is buffering. */
export const RESPONSE_MEMORY = new ByteBudget(MAX_RESPONSE_MEMORY_BYTES);
