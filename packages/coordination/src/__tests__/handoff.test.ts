import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import type { PeerIdentity } from "@jujubeladder/types";
import { createPeerService } from "../create_peer_service.js";
import { Handoff } from "../handoff.js";
import { OwnerLedger } from "../owner_ledger.js";
import { Successions } from "../successions.js";
import { WitnessLedger } from "../witness_ledger.js";

const LIMITS = {
  ticketTtlMs: 60_000,
  retentionMs: 60_000,
  maxEntries: 10,
  maxResultBytes: 1_000,
};
const LEAVING = { instanceId: "entry-1", incarnation: "one" };
const FIRST = { instanceId: "entry-2", incarnation: "two" };
const SECOND = { instanceId: "entry-3", incarnation: "three" };

type Offer = () => Promise<{ readonly isAccepted: boolean }>;

function createHandoff(
  offers: Readonly<Record<string, Offer | undefined>>,
): Handoff {
  const peers = [FIRST, SECOND].map((peer) => ({ ...peer, isLeaving: false }));
  return new Handoff({
    identity: LEAVING,
    incarnations: new Set([LEAVING.incarnation]),
    owner: new OwnerLedger(LIMITS),
    witness: new WitnessLedger(LIMITS),
    membership: {
      listAlive: () => peers,
      pushToAll: () => Promise.resolve(),
    } as never,
    directory: {
      find: (instanceId: string) => {
        const takeOver = offers[instanceId];
        return takeOver && { takeOver };
      },
    } as never,
    successions: new Successions(60_000),
    logger: new Logger({}),
  });
}

test("a peer that is not listed is passed over", async () => {
  let secondOffers = 0;
  await createHandoff({
    [SECOND.instanceId]: () => {
      secondOffers += 1;
      return Promise.resolve({ isAccepted: true });
    },
  }).run();
  assert.is(secondOffers, 1);
});

test("a peer that leaves the list after its response was lost stays the only successor", async () => {
  const offers: Record<string, Offer | undefined> = {};
  let secondOffers = 0;
  offers[FIRST.instanceId] = () => {
    offers[FIRST.instanceId] = undefined;
    return Promise.reject(new Error("reset after the offer was written"));
  };
  offers[SECOND.instanceId] = () => {
    secondOffers += 1;
    return Promise.resolve({ isAccepted: true });
  };
  await createHandoff(offers).run();
  assert.is(secondOffers, 0);
});

test("a peer that refuses after its response was lost stays the only successor", async () => {
  let firstOffers = 0;
  let secondOffers = 0;
  await createHandoff({
    [FIRST.instanceId]: () => {
      firstOffers += 1;
      return firstOffers === 1
        ? Promise.reject(new Error("reset after the offer was written"))
        : Promise.resolve({ isAccepted: false });
    },
    [SECOND.instanceId]: () => {
      secondOffers += 1;
      return Promise.resolve({ isAccepted: true });
    },
  }).run();
  assert.is(secondOffers, 0);
});

test("a peer that refuses the first offer is passed over", async () => {
  let secondOffers = 0;
  await createHandoff({
    [FIRST.instanceId]: () => Promise.resolve({ isAccepted: false }),
    [SECOND.instanceId]: () => {
      secondOffers += 1;
      return Promise.resolve({ isAccepted: true });
    },
  }).run();
  assert.is(secondOffers, 1);
});

test("a peer that accepted and then leaves still says that it accepted", async () => {
  const membership = { isLeaving: false };
  const incarnations = new Set([FIRST.incarnation]);
  const service = createPeerService({
    identity: FIRST,
    incarnations,
    membership: membership as never,
    directory: undefined as never,
    successions: new Successions(60_000),
    tickets: undefined as never,
    owner: new OwnerLedger(LIMITS),
    witness: new WitnessLedger(LIMITS),
    handoff: undefined as never,
    document: () => ({ revision: 0, text: "" }),
  });
  const offer = (from: PeerIdentity) =>
    service.takeOver?.(
      {
        from,
        successor: FIRST,
        inheritedIncarnations: [from.incarnation],
        ownerRecords: [],
        witnessRecords: [],
      } as never,
      undefined as never,
    );
  assert.equal(offer(LEAVING), { isAccepted: true });
  membership.isLeaving = true;
  incarnations.clear();
  assert.equal(offer(LEAVING), { isAccepted: true });
  assert.is(incarnations.size, 0);
  assert.equal(offer(SECOND), { isAccepted: false });
});

test.run();
