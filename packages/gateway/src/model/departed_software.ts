/** A software version of which a service lately had a runner that is gone. */
export interface DepartedSoftware {
  readonly serviceId: string;
  readonly softwareVersion: string;
  /** How long ago it was last listed, at most. */
  readonly ageMs: number;
}
