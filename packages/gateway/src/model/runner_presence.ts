/**
 * What the store's list shows of one incarnation of a runner. `removed`: its
 * entry was removed after it had said that it leaves; `replaced`: a later start
 * has its id or its address; `unknown`: neither.
 */
export type RunnerPresence = "unknown" | "removed" | "replaced";
