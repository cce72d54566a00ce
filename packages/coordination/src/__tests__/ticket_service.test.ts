import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { SealBox } from "@jujubeladder/utils";
import { OwnerLedger } from "../owner_ledger.js";
import { PeerDirectory } from "../peer_directory.js";
import { servePeers } from "../serve_peers.js";
import { Successions } from "../successions.js";
import { TicketService } from "../ticket_service.js";
import { WitnessClient } from "../witness_client.js";
import { WitnessLedger } from "../witness_ledger.js";

const LIMITS = {
  ticketTtlMs: 60_000,
  retentionMs: 60_000,
  maxEntries: 10,
  maxResultBytes: 1_000,
};
/** Ends the loop that forwarding to itself would cause. */
const MAX_CALLS = 20;

test("a restarted instance does not forward its former tickets to itself", async () => {
  const identity = { instanceId: "entry-1", incarnation: "second" };
  const sealBox = new SealBox(["a secret"], "ticket");
  const successions = new Successions(1_000);
  const body = { bytes: new Uint8Array(), contentType: "" };
  let calls = 0;
  const server = await servePeers(
    {
      runTicket: async ({ ticket }) => {
        calls += 1;
        if (calls > MAX_CALLS) return { isNotOwner: true };
        const result = await service.runForPeer(ticket, body);
        return result ? { result } : { isNotOwner: true };
      },
    },
    { host: "127.0.0.1", port: 0 },
  );
  const directory = new PeerDirectory((instanceId) => ({
    instanceId,
    host: "127.0.0.1",
    peerPort: (server.address() as AddressInfo).port,
    region: "r1",
    availabilityZone: "r1-a",
    state: "live",
  }));
  const servesIncarnation = (incarnation: string) =>
    incarnation === identity.incarnation || incarnation === "witness";
  const service = new TicketService({
    identity,
    limits: LIMITS,
    sealBox,
    membership: { availabilityZone: "r1-a" } as never,
    directory,
    successions,
    ledger: new OwnerLedger(LIMITS),
    witness: new WitnessClient({
      ledger: new WitnessLedger(LIMITS),
      directory,
      successions,
      servesIncarnation,
    }),
    dispatch: () => Promise.reject(new Error("unexpected dispatch")),
    servesIncarnation,
    logger: new Logger({}),
  });
  const ticket = {
    ticketId: "t1",
    serviceId: "filing",
    teamId: "team-a",
    method: "POST",
    path: "/",
    owner: { instanceId: "entry-1", incarnation: "first" },
    witness: { instanceId: "entry-2", incarnation: "witness" },
    expiresAtMs: Date.now() + LIMITS.ticketTtlMs,
  };
  try {
    const result = await service.run(ticket, sealBox.seal(ticket), body);
    assert.is(result.outcome, "not_run");
    assert.is(calls, 0);
  } finally {
    directory.close();
    server.close();
  }
});

test("a ticket that another owner started is never said to be not run", async () => {
  const identity = { instanceId: "entry-1", incarnation: "second" };
  const sealBox = new SealBox(["a secret"], "ticket");
  const successions = new Successions(1_000);
  const witnessLedger = new WitnessLedger(LIMITS);
  const expiresAtMs = Date.now() + LIMITS.ticketTtlMs;
  witnessLedger.recordStart("t1", { ownerIncarnation: "other", expiresAtMs });
  const servesIncarnation = () => true;
  const service = new TicketService({
    identity,
    limits: LIMITS,
    sealBox,
    membership: { availabilityZone: "r1-a" } as never,
    directory: undefined as never,
    successions,
    ledger: new OwnerLedger(LIMITS),
    witness: new WitnessClient({
      ledger: witnessLedger,
      directory: undefined as never,
      successions,
      servesIncarnation,
    }),
    dispatch: () => Promise.reject(new Error("unexpected dispatch")),
    servesIncarnation,
    logger: new Logger({}),
  });
  const ticket = {
    ticketId: "t1",
    serviceId: "filing",
    teamId: "team-a",
    method: "POST",
    path: "/",
    owner: identity,
    witness: { instanceId: "entry-2", incarnation: "witness" },
    expiresAtMs,
  };
  const body = { bytes: new Uint8Array(), contentType: "" };
  const result = await service.run(ticket, sealBox.seal(ticket), body);
  assert.is(result.outcome, "may_have_run");
});

test.run();
