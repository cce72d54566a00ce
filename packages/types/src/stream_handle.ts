/** Contents of a sealed stream handle: the runner that has the generation. */
export interface StreamHandle {
  readonly serviceId: string;
  readonly teamId: string;
  readonly runnerId: string;
  readonly host: string;
  readonly port: number;
  readonly generationId: string;
}
