import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankByRendezvous } from "../rank_by_rendezvous.js";

const IDS = ["a", "b", "c", "d", "e"];

test("does not depend on the order of the ids", () => {
  const ranked = rankByRendezvous("key", IDS);
  assert.equal(rankByRendezvous("key", [...IDS].reverse()), ranked);
});

test("keeps the order of the remaining ids when one is removed", () => {
  const ranked = rankByRendezvous("key", IDS);
  const remaining = rankByRendezvous(
    "key",
    IDS.filter((id) => id !== ranked[1]),
  );
  assert.equal(
    remaining,
    ranked.filter((id) => id !== ranked[1]),
  );
});

test.run();
