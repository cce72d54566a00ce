/** Address of an instance's UDP port. */
export interface DatagramEndpoint {
  readonly host: string;
  readonly port: number;
}
