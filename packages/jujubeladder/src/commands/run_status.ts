import { printAdminAnswer } from "./print_admin_answer.js";

/** `jujubeladder status`: prints an instance's views, ages and peers. */
export async function runStatus(options: {
  readonly url: string;
}): Promise<void> {
  await printAdminAnswer(`${options.url}/status`);
}
