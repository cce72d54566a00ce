import type { ConfigDocument, RequestSettings } from "@jujubeladder/types";

/** Applies the exceptions of a service and team to the defaults, in order. */
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
