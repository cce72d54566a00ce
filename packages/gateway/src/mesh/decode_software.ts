import type { Digest } from "@jujubeladder/protocol";
import type { SoftwareHistory } from "../model/software_history.js";

const MAX_NAME_LENGTH = 200;
/** More than a service has versions at a time. */
const MAX_DEPARTED = 64;

/**
 * Decodes which software versions a peer has seen; undefined if it tells nothing,
 * or what is out of range.
 */
export function decodeSoftware(
  digest: Pick<
    Digest,
    "softwareKnownMs" | "softwareEra" | "softwareAsOf" | "departedSoftware"
  >,
): SoftwareHistory | undefined {
  const { softwareKnownMs, departedSoftware } = digest;
  const { softwareEra: era, softwareAsOf: revision } = digest;
  const isValid =
    departedSoftware.length <= MAX_DEPARTED &&
    departedSoftware.every(
      ({ serviceId, softwareVersion }) =>
        serviceId.length <= MAX_NAME_LENGTH &&
        softwareVersion.length <= MAX_NAME_LENGTH,
    );
  if (!isValid) return undefined;
  const departed = departedSoftware.map(
    ({ serviceId, softwareVersion, ageMs }) => ({
      serviceId,
      softwareVersion,
      ageMs,
    }),
  );
  const knownUpTo =
    era === undefined || revision === undefined
      ? undefined
      : { era: Number(era), revision: Number(revision) };
  return { knownForMs: softwareKnownMs ?? 0, knownUpTo, departed };
}
