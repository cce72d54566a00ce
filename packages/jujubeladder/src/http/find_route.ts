import type { ConfigDocument, ServiceRoute } from "@jujubeladder/types";

/** Finds the route of a plain service by longest matching path prefix. */
export function findRoute(
  document: ConfigDocument,
  call: {
    readonly serviceId: string;
    readonly method: string;
    readonly path: string;
  },
): ServiceRoute | undefined {
  const service = document.services.find(
    (entry) => entry.serviceId === call.serviceId,
  );
  if (service?.type !== "plain") return undefined;
  return service.routes
    .filter(
      (route) =>
        route.method === call.method && call.path.startsWith(route.pathPrefix),
    )
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
}
