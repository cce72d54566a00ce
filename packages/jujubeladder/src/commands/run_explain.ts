import { printAdminResponse } from "./print_admin_response.js";

/** `jujubeladder explain`: prints the placement decision for a request. */
export async function runExplain(options: {
  readonly url: string;
  readonly service: string;
  readonly team: string;
  readonly kind?: string;
  readonly promptTokens?: number;
}): Promise<void> {
  const query = new URLSearchParams({
    service: options.service,
    team: options.team,
  });
  if (options.kind !== undefined) query.set("kind", options.kind);
  if (options.promptTokens !== undefined) {
    query.set("prompt_tokens", String(options.promptTokens));
  }
  await printAdminResponse(`${options.url}/explain?${query.toString()}`);
}
