import { printAdminResponse } from "./print_admin_response.js";

/** `jujubeladder status`: prints an instance's state and its peers. */
export async function runStatus(options: {
  readonly url: string;
}): Promise<void> {
  await printAdminResponse(`${options.url}/status`);
}
