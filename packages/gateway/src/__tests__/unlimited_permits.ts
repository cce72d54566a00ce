/** Permits of a fleet in which no runner limits its rate, for tests. */
export const UNLIMITED_PERMITS = {
  isLimited: () => false,
  findOpenMs: () => 0,
  claim: () => true,
  release: () => undefined,
  acquire: async () => Promise.resolve({ type: "granted", waitMs: 0 } as const),
};
