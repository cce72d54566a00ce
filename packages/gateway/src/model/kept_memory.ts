/** Memory of a run that another run can go on from. */
export interface KeptMemory {
  /** The runner that the copy is named by. */
  readonly host: string;
  readonly port: number;
  readonly handle: string;
}
