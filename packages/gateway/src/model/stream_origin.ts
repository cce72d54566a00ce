/** Where a stream began, as far as it matters for where it can go on. */
export interface StreamOrigin {
  readonly serviceId: string;
  readonly softwareVersion: string;
}
