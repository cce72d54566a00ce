import { sleep } from "@jujubeladder/utils";
import { request } from "undici";
import type { Fleet } from "../harness/fleet.js";
import { waitUntil } from "../harness/wait_until.js";
import { Caller } from "./caller.js";
import { readGroundTruth } from "./read_ground_truth.js";
import { readStatus } from "./read_status.js";
import type { RecordedResponse } from "./recorded_response.js";
import type { Recording } from "./recording.js";
import type { TraceAct } from "./trace_act.js";

const DEFAULT_TEAM = "team-a";

/** Replays the acts of a trace on a fleet and records the responses. */
export class Replay {
  readonly recording: Recording = {
    responses: new Map(),
    streams: new Map(),
    leavingAtMs: new Map(),
    violations: [],
  };
  readonly #fleet: Fleet;
  readonly #caller = new Caller(DEFAULT_TEAM);
  readonly #tickets = new Map<string, string>();
  readonly #pending = new Map<string, Promise<void>>();
  readonly #aborts = new Map<string, AbortController>();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async perform(act: TraceAct): Promise<void> {
    const fleet = this.#fleet;
    switch (act.act) {
      case "mint": {
        const ticket = await this.#caller.mintTicket(fleet.callerUrl(act.via));
        if (ticket === "") throw new Error(`No ticket minted by ${act.via}`);
        this.#tickets.set(act.as, ticket);
        return;
      }
      case "put":
        this.#recordResponse(act.as, this.#put(act));
        return;
      case "call": {
        const { as: name, method, path, body = "" } = act;
        const url = fleet.callerUrl(act.via);
        const call = { name, method, path, body };
        this.#recordResponse(act.as, this.#caller.callService(url, call));
        return;
      }
      case "whole": {
        const url = fleet.callerUrl(act.via);
        for (const name of copyNames(act)) {
          const { content } = act;
          this.#recordResponse(
            name,
            this.#caller.requestCompletion(url, { name, content }),
          );
        }
        return;
      }
      case "stream":
        for (const name of copyNames(act)) {
          this.#startStream(name, act.via, { content: act.content });
        }
        return;
      case "reconnect": {
        const original = this.recording.streams.get(act.stream);
        if (!original) throw new Error(`Unknown stream ${act.stream}`);
        const { content, lastEventId } = original;
        this.#startStream(act.as, act.via, { content, lastEventId });
        return;
      }
      case "disconnect":
        this.#aborts.get(act.stream)?.abort();
        await this.#pending.get(act.stream);
        return;
      case "await":
        for (const name of toList(act.of)) await this.#pending.get(name);
        return;
      case "await_tokens":
        await waitUntil(`${act.of} has ${act.count} tokens`, () => {
          const stream = this.recording.streams.get(act.of);
          return (stream?.tokens.length ?? 0) >= act.count;
        });
        return;
      case "await_runs":
        await waitUntil(`${act.count} runs are recorded`, async () => {
          const truth = await readGroundTruth(fleet);
          return truth.runs.length >= act.count;
        });
        return;
      case "await_log":
        await waitUntil(`${act.of} logs ${act.text}`, () =>
          fleet.child(act.of).output.includes(act.text),
        );
        return;
      case "await_revision":
        await this.#awaitRevision(act);
        return;
      case "kill":
      case "freeze":
      case "thaw":
      case "terminate":
        for (const name of this.#resolveProcesses(act.process)) {
          fleet.child(name).signal(toSignal(act.act));
        }
        return;
      case "start":
        for (const name of toList(act.process)) await this.#startProcess(name);
        return;
      case "await_exit":
        for (const name of toList(act.process)) {
          const code = await fleet.child(name).waitForExit();
          if (act.code === undefined || code === act.code) continue;
          this.recording.violations.push(`${name} exited with ${code}`);
        }
        return;
      case "await_version":
        for (const name of this.#resolveProcesses(act.runner)) {
          await waitUntil(`${name} has version ${act.version}`, async () => {
            const truth = await readGroundTruth(fleet);
            return truth.engineVersions.get(name) === act.version;
          });
        }
        return;
      case "link":
        await this.#setLinks(act);
        return;
      case "publish": {
        const views = this.#resolveEntries(act.to);
        if (act.text === undefined) {
          await fleet.publish(act.changes ?? {}, views);
        } else {
          await fleet.publishText(act.text, views);
        }
        return;
      }
      case "platform": {
        const { configMode, listMode } = act;
        for (const view of this.#resolveEntries(act.of)) {
          await fleet.setPlatform(view, {
            ...(configMode === undefined ? {} : { configMode }),
            ...(listMode === undefined ? {} : { listMode }),
          });
        }
        return;
      }
      case "list":
        if (act.state === "leaving") this.#recordLeaving(act.member);
        await fleet.setMember(act.member, act.state);
        return;
      case "leave": {
        this.#recordLeaving(act.runner);
        const url = `${fleet.backendUrl(act.runner)}/admin/leave`;
        await (await request(url, { method: "POST" })).body.dump();
        return;
      }
      case "sleep":
        await sleep(act.ms);
        return;
    }
  }

  /** Waits for all outstanding responses. */
  async waitForResponses(): Promise<true> {
    await Promise.all(this.#pending.values());
    return true;
  }

  #recordLeaving(runner: string): void {
    const known = this.recording.leavingAtMs.get(runner);
    this.recording.leavingAtMs.set(runner, known ?? Date.now());
  }

  async #put(
    act: Extract<TraceAct, { act: "put" }>,
  ): Promise<RecordedResponse> {
    return await this.#caller.putTicket(this.#fleet.callerUrl(act.via), {
      name: act.as,
      ticket: this.#tickets.get(act.ticket) ?? act.ticket,
      body: act.body ?? `submission of ${act.ticket}`,
    });
  }

  #recordResponse(name: string, response: Promise<RecordedResponse>): void {
    const done = response.then((value) => {
      this.recording.responses.set(name, value);
    });
    this.#pending.set(name, done);
  }

  #startStream(
    name: string,
    via: string,
    options: { readonly content: string; readonly lastEventId?: string },
  ): void {
    const record = {
      name,
      content: options.content,
      entry: via,
      tokens: [],
      lastEventId: "",
      statusCode: 0,
      end: undefined,
      errorType: "",
    };
    const abort = new AbortController();
    this.recording.streams.set(name, record);
    this.#aborts.set(name, abort);
    const { lastEventId } = options;
    const done = this.#caller.readStream(this.#fleet.callerUrl(via), record, {
      signal: abort.signal,
      ...(lastEventId === undefined ? {} : { lastEventId }),
    });
    this.#pending.set(name, done);
  }

  async #startProcess(name: string): Promise<void> {
    if (name.startsWith("engine")) {
      await this.#fleet.startEngine(name);
      return;
    }
    await this.#fleet.startEntry(name);
    await this.#fleet.publishLists();
    await this.#fleet.waitUntilReady(name);
  }

  async #awaitRevision(
    act: Extract<TraceAct, { act: "await_revision" }>,
  ): Promise<void> {
    const startedAtMs = Date.now();
    const names = this.#resolveEntries(act.of);
    await waitUntil(
      `revision ${act.revision} is in force on ${names.join()}`,
      async () => {
        const statuses = await Promise.all(
          names.map(async (name) => readStatus(this.#fleet, name)),
        );
        return statuses.every((status) => status.revision >= act.revision);
      },
    );
    const elapsedMs = Date.now() - startedAtMs;
    if (act.withinMs !== undefined && elapsedMs > act.withinMs) {
      this.recording.violations.push(
        `revision ${act.revision} took ${elapsedMs} ms, not ${act.withinMs}`,
      );
    }
  }

  async #setLinks(act: Extract<TraceAct, { act: "link" }>): Promise<void> {
    for (const from of this.#resolveEntries(act.from)) {
      for (const to of this.#resolveProcesses(act.to)) {
        if (from === to) continue;
        await this.#fleet.setLink(from, to, act.mode);
        if (act.isBothWays !== true || !to.startsWith("entry")) continue;
        await this.#fleet.setLink(to, from, act.mode);
      }
    }
  }

  #resolveEntries(names: string | readonly string[]): readonly string[] {
    return names === "*" ? this.#fleet.entryNames : toList(names);
  }

  #resolveProcesses(names: string | readonly string[]): readonly string[] {
    if (names === "engines") {
      return this.#fleet.backendNames.filter((n) => n.startsWith("engine"));
    }
    if (names === "plains") {
      return this.#fleet.backendNames.filter((n) => n.startsWith("plain"));
    }
    return this.#resolveEntries(names);
  }
}

function toList(names: string | readonly string[]): readonly string[] {
  return typeof names === "string" ? [names] : names;
}

function copyNames(act: {
  readonly as: string;
  readonly copies?: number;
}): readonly string[] {
  if (act.copies === undefined) return [act.as];
  return Array.from({ length: act.copies }, (_, i) => `${act.as}-${i + 1}`);
}

function toSignal(
  act: "kill" | "freeze" | "thaw" | "terminate",
): "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGTERM" {
  switch (act) {
    case "kill":
      return "SIGKILL";
    case "freeze":
      return "SIGSTOP";
    case "thaw":
      return "SIGCONT";
    case "terminate":
      return "SIGTERM";
  }
}
