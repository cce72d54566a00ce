/**
 * True if a stream that one version of a service's software began may go on at
 * the other. Two versions that are not known are not taken for the same.
 */
export function isSameSoftware(began: string, other: string): boolean {
  return began !== "" && began === other;
}
