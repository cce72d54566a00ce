import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, type WriteStream } from "node:fs";

/** A process of the fleet under test. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #log: WriteStream;
  readonly #lines: string[] = [];
  #exitCode: number | null | undefined;

  constructor(
    name: string,
    options: {
      readonly args: readonly string[];
      readonly logFile: string;
      readonly onExit: () => void;
    },
  ) {
    this.name = name;
    this.#log = createWriteStream(options.logFile, { flags: "a" });
    this.#process = spawn(process.execPath, options.args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#process.stdout?.setEncoding("utf8").on("data", (text: string) => {
      this.#append(text);
    });
    this.#process.stderr?.setEncoding("utf8").on("data", (text: string) => {
      this.#append(text);
    });
    this.#process.on("exit", (code) => {
      this.#exitCode = code;
      options.onExit();
    });
  }

  /** Exit code; null after a signal, undefined while it runs. */
  get exitCode(): number | null | undefined {
    return this.#exitCode;
  }

  /** Combined stdout and stderr so far. */
  get output(): string {
    return this.#lines.join("");
  }

  signal(name: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM"): void {
    if (this.#exitCode === undefined) this.#process.kill(name);
  }

  async waitForExit(): Promise<number | null> {
    if (this.#exitCode === undefined) await once(this.#process, "exit");
    return this.#exitCode ?? null;
  }

  async destroy(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.waitForExit();
    this.#log.end();
  }

  #append(text: string): void {
    this.#lines.push(text);
    this.#log.write(text);
  }
}
