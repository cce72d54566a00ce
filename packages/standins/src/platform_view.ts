import type { InstanceList } from "@jujubeladder/types";
import type { PlatformMode } from "./platform_mode.js";

/** The configuration and the instance list that one group of clients gets. */
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
    this.#notifyWatchers();
  }

  setListMode(mode: PlatformMode): void {
    this.#listMode = mode;
    this.#staleList = this.#list;
    this.#notifyWatchers();
  }

  setConfig(text: string): void {
    this.#configText = text;
    this.#notifyWatchers();
  }

  setList(list: Omit<InstanceList, "version">): void {
    this.#list = { ...list, version: this.#list.version + 1 };
    this.#notifyWatchers();
  }

  /** Resolves at the next change or after `timeoutMs`. */
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

  #notifyWatchers(): void {
    for (const watcher of [...this.#watchers]) watcher();
  }
}
