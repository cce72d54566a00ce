import { type LinkMode } from "@jujubeladder/standins";
import type { ConfigDocument } from "@jujubeladder/types";

/**
 * One or more names of processes or requests. Some acts also accept `*` for all
 * entries, and the groups "engines" and "plains".
 */
type Names = string | readonly string[];

/** One step of a trace. Requests stay open while later steps run. */
export type TraceAct =
  | { readonly act: "mint"; readonly via: string; readonly as: string }
  | {
      readonly act: "put";
      readonly via: string;
      readonly ticket: string;
      readonly as: string;
      readonly body?: string;
    }
  | {
      readonly act: "call";
      readonly via: string;
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly as: string;
      readonly body?: string;
    }
  | {
      readonly act: "stream" | "whole";
      readonly via: string;
      readonly content: string;
      readonly as: string;
      readonly team?: string;
      readonly copies?: number;
    }
  | {
      readonly act: "reconnect";
      readonly stream: string;
      readonly via: string;
      readonly as: string;
    }
  | { readonly act: "disconnect"; readonly stream: string }
  | { readonly act: "await"; readonly of: Names }
  | {
      readonly act: "await_tokens";
      readonly of: string;
      readonly count: number;
    }
  | { readonly act: "await_runs"; readonly count: number }
  | {
      readonly act: "await_log";
      readonly of: string;
      readonly text: string;
    }
  | {
      readonly act: "await_revision";
      readonly of: Names;
      readonly revision: number;
      readonly withinMs?: number;
    }
  | {
      readonly act: "kill" | "freeze" | "thaw" | "terminate" | "start";
      readonly process: Names;
    }
  | {
      readonly act: "await_exit";
      readonly process: Names;
      readonly code?: number;
    }
  | {
      readonly act: "await_version";
      readonly runner: Names;
      readonly version: string;
    }
  | {
      readonly act: "link";
      readonly from: Names;
      readonly to: Names;
      readonly mode: LinkMode;
      readonly isBothWays?: boolean;
    }
  | {
      readonly act: "publish";
      readonly to: Names;
      readonly changes?: Partial<ConfigDocument>;
      readonly text?: string;
    }
  | {
      readonly act: "platform";
      readonly of: Names;
      readonly configMode?: string;
      readonly listMode?: string;
    }
  | {
      readonly act: "list";
      readonly member: string;
      readonly state: "live" | "leaving" | "gone";
    }
  | { readonly act: "leave"; readonly runner: string }
  | { readonly act: "sleep"; readonly ms: number };
