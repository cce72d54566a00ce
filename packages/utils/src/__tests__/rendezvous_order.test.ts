import { test } from "uvu";
import * as assert from "uvu/assert";
import { rankByRendezvous } from "../rank_by_rendezvous.js";
import { RendezvousOrder } from "../rendezvous_order.js";

test("an order follows each change of the ids, and no other", () => {
  const order = new RendezvousOrder("key");
  const lists = [["a", "b"], ["a", "b", "c"], ["b", "c"], ["b", "d"], []];
  for (const ids of lists) {
    const ranked = order.rank(ids);
    assert.equal(ranked, rankByRendezvous("key", ids));
    assert.is(order.rank([...ids]), ranked, "equal ids are ranked once");
  }
});

test("an order does not depend on what happens to the list later", () => {
  const order = new RendezvousOrder("key");
  const ids = ["a", "b"];
  order.rank(ids);
  ids.push("c");
  assert.equal(order.rank(ids), rankByRendezvous("key", ids));
});

test.run();
