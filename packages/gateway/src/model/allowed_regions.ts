/** Regions in which a request may be served; undefined allows all of them. */
export type AllowedRegions = ReadonlySet<string> | undefined;
