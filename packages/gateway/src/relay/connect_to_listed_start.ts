import type { Result } from "@jujubeladder/types";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { HttpConnection } from "../transport/http_connection.js";

const START_TIMEOUT_MS = 300;
const ATTEMPTS = 2;

/**
 * Opens a connection for the rest of a stream that has begun, to the listed start
 * of a runner only: under its id another start may have another software version,
 * and may not be listed yet. An error means that nothing was sent.
 */
export async function connectToListedStart(
  { startedAtMs }: Pick<GatewayRunner, "startedAtMs">,
  options: {
    readonly connect: (options: {
      readonly mustBeNew: boolean;
    }) => Promise<Result<HttpConnection, string>>;
    readonly control: Pick<EngineControl, "readStart">;
    /** True if the stream can go on at this runner only, as that has a copy. */
    readonly mayBeUnknown: boolean;
  },
): Promise<Result<HttpConnection, string>> {
  const { connect, control, mayBeUnknown } = options;
  if (startedAtMs === 0) return await connect({ mustBeNew: true });
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const opened = await connect({ mustBeNew: true });
    if (!opened.ok) return opened;
    const connection = opened.value;
    const start = await control.readStart(connection, START_TIMEOUT_MS);
    if (start.type === "no_response") continue;
    if (start.type === "told" && start.startedAtMs !== startedAtMs) {
      connection.close();
      return { ok: false, error: "the runner has started again" };
    }
    // A runner may close any connection after a response.
    return connection.isOpen
      ? { ok: true, value: connection }
      : await connect({ mustBeNew: true });
  }
  return mayBeUnknown
    ? await connect({ mustBeNew: true })
    : { ok: false, error: "the runner does not tell its start" };
}
