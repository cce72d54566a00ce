/** Unit of tokens in load tables: far less than a request has. */
export const TOKENS_PER_BLOCK = 64;
