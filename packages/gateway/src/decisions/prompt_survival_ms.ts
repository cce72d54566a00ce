/** A runner that writes a response for this long has survived its prompt. */
export const PROMPT_SURVIVAL_MS = 300;
