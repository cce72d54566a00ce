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

const IDENTITY = { instanceId: "entry-1", incarnation: "second" };
const SEAL_BOX = new SealBox(["a secret"], "ticket");
const BODY = { bytes: new Uint8Array(), contentType: "" };

function createService(options: {
  readonly directory: PeerDirectory;
  readonly witnessLedger: WitnessLedger;
  readonly servesIncarnation: (incarnation: string) => boolean;
}): TicketService {
  const { directory, witnessLedger, servesIncarnation } = options;
  const successions = new Successions(1_000);
  return new TicketService({
    identity: IDENTITY,
    limits: LIMITS,
    sealBox: SEAL_BOX,
    membership: { availabilityZone: "r1-a" } as never,
    directory,
    successions,
    ledger: new OwnerLedger(LIMITS),
    witness: new WitnessClient({
      ledger: witnessLedger,
      directory,
      successions,
      servesIncarnation,
    }),
    dispatch: () => Promise.reject(new Error("unexpected dispatch")),
    servesIncarnation,
    logger: new Logger({}),
  });
}

function createTicket(options: {
  readonly owner: typeof IDENTITY;
  readonly expiresAtMs: number;
}) {
  return {
    ticketId: "t1",
    serviceId: "filing",
    teamId: "team-a",
    method: "POST",
    path: "/",
    witness: { instanceId: "entry-2", incarnation: "witness" },
    ...options,
  };
}

test("a restarted instance does not forward its former tickets to itself", async () => {
  let calls = 0;
  const server = await servePeers(
    {
      runTicket: async ({ ticket }) => {
        calls += 1;
        if (calls > MAX_CALLS) return { isNotOwner: true };
        const result = await service.runForPeer(ticket, BODY);
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
  const service = createService({
    directory,
    witnessLedger: new WitnessLedger(LIMITS),
    servesIncarnation: (incarnation) =>
      incarnation === IDENTITY.incarnation || incarnation === "witness",
  });
  const ticket = createTicket({
    owner: { ...IDENTITY, incarnation: "first" },
    expiresAtMs: Date.now() + LIMITS.ticketTtlMs,
  });
  try {
    const result = await service.run(ticket, SEAL_BOX.seal(ticket), BODY);
    assert.is(result.outcome, "not_run");
    assert.is(calls, 0);
  } finally {
    directory.close();
    server.close();
  }
});

test("a ticket that another owner started is never said to be not run", async () => {
  const witnessLedger = new WitnessLedger(LIMITS);
  const expiresAtMs = Date.now() + LIMITS.ticketTtlMs;
  witnessLedger.recordStart("t1", { ownerIncarnation: "other", expiresAtMs });
  const service = createService({
    directory: undefined as never,
    witnessLedger,
    servesIncarnation: () => true,
  });
  const ticket = createTicket({ owner: IDENTITY, expiresAtMs });
  const result = await service.run(ticket, SEAL_BOX.seal(ticket), BODY);
  assert.is(result.outcome, "may_have_run");
});

test.run();
