import fc from "fast-check";
import type { Trace } from "./trace.js";
import type { TraceAct } from "./trace_act.js";

const ENTRIES = ["entry-1", "entry-2", "entry-3"];
const PLAINS = ["plain-1", "plain-2"];
const ROUNDS = 3;

const anyEntry = fc.constantFrom(...ENTRIES);
const anyPlain = fc.constantFrom(...PLAINS);
const anyPause = fc.integer({ min: 0, max: 800 });

interface Fault {
  readonly begin: readonly TraceAct[];
  readonly end: readonly TraceAct[];
}

const anyFault: fc.Arbitrary<Fault> = fc.oneof(
  anyEntry.map((process) => ({
    begin: [{ act: "freeze" as const, process }],
    end: [{ act: "thaw" as const, process }],
  })),
  anyEntry.map((process) => ({
    begin: [
      { act: "kill" as const, process },
      { act: "await_exit" as const, process },
    ],
    end: [{ act: "start" as const, process }],
  })),
  anyPlain.map((process) => ({
    begin: [{ act: "freeze" as const, process }],
    end: [{ act: "thaw" as const, process }],
  })),
  fc
    .tuple(anyEntry, fc.constantFrom("cut", "stalled", "deaf", "silent"))
    .map(([from, mode]) => ({
      begin: [
        {
          act: "link" as const,
          from,
          to: ENTRIES,
          mode: mode as "cut",
          isBothWays: true,
        },
      ],
      end: [
        {
          act: "link" as const,
          from,
          to: ENTRIES,
          mode: "open" as const,
          isBothWays: true,
        },
      ],
    })),
  fc
    .tuple(anyEntry, fc.constantFrom("stalled", "deaf", "silent"))
    .map(([from, mode]) => ({
      begin: [
        {
          act: "link" as const,
          from,
          to: [...PLAINS, "engine-1", "engine-2"],
          mode: mode as "stalled",
        },
      ],
      end: [
        {
          act: "link" as const,
          from,
          to: [...PLAINS, "engine-1", "engine-2"],
          mode: "open" as const,
        },
      ],
    })),
  fc.constantFrom("down", "stale").map((mode) => ({
    begin: [
      {
        act: "platform" as const,
        of: "*",
        configMode: mode,
        listMode: mode,
      },
    ],
    end: [
      {
        act: "platform" as const,
        of: "*",
        configMode: "up",
        listMode: "up",
      },
    ],
  })),
);

const anyRound = fc.record({
  via: fc.tuple(anyEntry, anyEntry, anyEntry),
  faults: fc.tuple(anyFault, anyFault),
  pausesMs: fc.tuple(anyPause, anyPause, anyPause),
  bodyDelayMs: fc.constantFrom(0, 0, 400, 1_500),
});

/**
 * Generates a trace of rounds. Each round injects two overlapping faults while
 * a stream is read and a submission is sent and retried through random entries.
 * The trace expects no outcomes beyond the invariants.
 */
export function generateTrace(seed: number): Trace {
  const [rounds = []] = fc.sample(
    fc.array(anyRound, { minLength: ROUNDS, maxLength: ROUNDS }),
    { seed, numRuns: 1 },
  );
  return {
    promise: "combined",
    case: `seed-${seed}`,
    says: "Two overlapping faults in each of three rounds",
    fleet: {
      entries: ENTRIES.length,
      plains: PLAINS.length,
      engines: [{}, {}],
      config: { defaults: { requestTimeoutMs: 4_000 } as never },
    },
    acts: rounds.flatMap((round, index) => createRoundActs(round, index + 1)),
    states: [],
  };
}

function createRoundActs(
  round: Parameters<Parameters<typeof anyRound.map>[0]>[0],
  roundNumber: number,
): readonly TraceAct[] {
  const [minter, first, second] = round.via;
  const [faultA, faultB] = round.faults;
  const [beforeMs, betweenMs, afterMs] = round.pausesMs;
  const ticket = `t${roundNumber}`;
  const delayMs = round.bodyDelayMs;
  const body = `submission ${roundNumber} delayMs=${delayMs}`;
  const put = (via: string, as: string): TraceAct => ({
    act: "put",
    via,
    ticket,
    as,
    body,
  });
  return [
    { act: "mint", via: minter, as: ticket },
    { act: "stream", via: minter, content: "len=120", as: `s${roundNumber}` },
    ...faultA.begin,
    put(first, `${ticket}-a`),
    { act: "sleep", ms: beforeMs },
    ...faultB.begin,
    { act: "sleep", ms: betweenMs },
    put(second, `${ticket}-b`),
    { act: "sleep", ms: afterMs + 3_000 },
    ...faultB.end,
    ...faultA.end,
    { act: "await", of: [`${ticket}-a`, `${ticket}-b`] },
    put(minter, `${ticket}-c`),
    { act: "await", of: `${ticket}-c` },
    { act: "sleep", ms: 1_500 },
  ];
}
