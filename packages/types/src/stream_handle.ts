/** What a sealed stream handle says: where the generation runs. */
export interface StreamHandle {
  readonly serviceId: string;
  readonly teamId: string;
  readonly runnerId: string;
  readonly host: string;
  readonly port: number;
  readonly generationId: string;
}
