import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Ticket } from "@jujubeladder/types";
import { makeResult } from "../make_result.js";
import { OwnerLedger } from "../owner_ledger.js";
import { WitnessLedger } from "../witness_ledger.js";

const SEED = 11;
const LIMITS = {
  ticketTtlMs: 1_000,
  retentionMs: 1_000,
  maxEntries: 3,
  maxResultBytes: 1_000,
};

function createTicket(ticketId: string, expiresInMs = 1_000): Ticket {
  return {
    ticketId,
    serviceId: "s",
    teamId: "t",
    method: "POST",
    path: "/",
    owner: { instanceId: "a", incarnation: "1" },
    witness: { instanceId: "b", incarnation: "2" },
    expiresAtMs: Date.now() + expiresInMs,
  };
}

test("a ticket is never both started and barred, in any order of calls", () => {
  const anyCall = fc.constantFrom("start-1", "start-2", "resolve");
  fc.assert(
    fc.property(fc.array(anyCall), (calls) => {
      const ledger = new WitnessLedger(LIMITS);
      const expiresAtMs = Date.now() + 1_000;
      const verdicts = calls.map((call) =>
        call === "resolve"
          ? `resolve-${ledger.resolve("t", expiresAtMs).type}`
          : `${call}-${ledger.recordStart("t", {
              ownerIncarnation: call,
              expiresAtMs,
            })}`,
      );
      const started = new Set(verdicts.filter((v) => v.endsWith("recorded")));
      const isBarred = verdicts.includes("resolve-barred");
      assert.ok(started.size <= 1);
      assert.not(isBarred && started.size > 0);
    }),
    { seed: SEED },
  );
});

test("a ticket that another owner started is not told to be barred", () => {
  const expiresAtMs = Date.now() + 1_000;
  const recordStart = (ledger: WitnessLedger, ownerIncarnation: string) =>
    ledger.recordStart("t", { ownerIncarnation, expiresAtMs });
  const ledger = new WitnessLedger(LIMITS);
  assert.is(recordStart(ledger, "1"), "recorded");
  assert.is(recordStart(ledger, "2"), "started");
  ledger.recordResult("t", makeResult("completed", ""));
  assert.is(recordStart(ledger, "2"), "started");
});

test("a full ledger does not answer not_run for a ticket it cannot record", async () => {
  const ledger = new OwnerLedger(LIMITS);
  let runs = 0;
  const start = async () => {
    runs += 1;
    return makeResult("completed", "");
  };
  for (let number = 1; number <= 3; number += 1) {
    await ledger.run(createTicket(`t${number}`), start);
  }
  const overflow = await ledger.run(createTicket("t4"), start);
  assert.is(overflow.outcome, "may_have_run");
  assert.is(runs, 3);
});

test("an expired ticket is never run", async () => {
  const ledger = new OwnerLedger(LIMITS);
  const ticket = createTicket("t", -1);
  const fail = () => Promise.reject(new Error("unexpected run"));
  assert.is((await ledger.run(ticket, fail)).outcome, "not_run");
  assert.is((await ledger.run(ticket, fail)).outcome, "not_run");
  const pastRetention = createTicket("u", -5_000);
  assert.is((await ledger.run(pastRetention, fail)).outcome, "may_have_run");
});

test.run();
