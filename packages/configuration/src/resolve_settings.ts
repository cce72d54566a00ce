import type { ConfigDocument, RequestSettings } from "@jujubeladder/types";

/**
 * Returns the settings of a service and team: the defaults with each matching
 * exception applied in order, so that later ones win.
 */
export function resolveSettings(
  document: ConfigDocument,
  scope: { readonly serviceId: string; readonly teamId: string },
): RequestSettings {
  return document.exceptions
    .filter(
      (exception) =>
        (exception.serviceId ?? scope.serviceId) === scope.serviceId &&
        (exception.teamId ?? scope.teamId) === scope.teamId,
    )
    .reduce<RequestSettings>(
      (settings, exception) => ({ ...settings, ...exception.settings }),
      document.defaults,
    );
}
