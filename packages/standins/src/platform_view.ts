import type { InstanceList } from "@jujubeladder/types";
import type { PlatformMode } from "./platform_mode.js";

/** What one reader of the platform is shown. */
export class PlatformView {
  readonly #watchers = new Set<() => void>();
  #configMode: PlatformMode = "up";
  #listMode: PlatformMode = "up";
  #configText = "";
  #list: InstanceList = { version: 0, instances: [], runners: [] };
  #staleConfigText = "";
  #staleList: InstanceList = this.#list;

  get configMode(): PlatformMode {
    return this.#configMode;
  }

  get listMode(): PlatformMode {
    return this.#listMode;
  }

  get configText(): string {
    return this.#configMode === "stale"
      ? this.#staleConfigText
      : this.#configText;
  }

  get list(): InstanceList {
    return this.#listMode === "stale" ? this.#staleList : this.#list;
  }

  setConfigMode(mode: PlatformMode): void {
    this.#configMode = mode;
    this.#staleConfigText = this.#configText;
    this.#wake();
  }

  setListMode(mode: PlatformMode): void {
    this.#listMode = mode;
    this.#staleList = this.#list;
    this.#wake();
  }

  setConfig(text: string): void {
    this.#configText = text;
    this.#wake();
  }

  setList(list: Omit<InstanceList, "version">): void {
    this.#list = { ...list, version: this.#list.version + 1 };
    this.#wake();
  }

  /** Resolves at the next change or when time runs out. */
  async waitForChange(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#watchers.delete(done);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      this.#watchers.add(done);
    });
  }

  #wake(): void {
    for (const watcher of [...this.#watchers]) watcher();
  }
}
