import { test } from "uvu";
import * as assert from "uvu/assert";
import { PartQuarantine } from "../part_quarantine.js";
import { TestClocks } from "./test_clocks.js";

const MINUTE_MS = 60_000;

function create() {
  const clocks = new TestClocks();
  const quarantine = new PartQuarantine({ readClocks: clocks.read });
  return { clocks, quarantine };
}

function statusOf(quarantine: PartQuarantine, ...partIds: string[]): string {
  return quarantine.status(partIds).type;
}

function quarantinePart(quarantine: PartQuarantine, partId: string): void {
  for (const n of [1, 2, 3])
    quarantine.recordLoss([partId], `${partId}-runner-${n}`);
}

test("a part that lost three incarnations is quarantined in any request", () => {
  const { quarantine } = create();
  assert.is(quarantine.isEmpty, true);
  assert.is(quarantine.recordLoss(["first", "deadly"], "e1"), true);
  assert.is(quarantine.isEmpty, false);
  assert.is(statusOf(quarantine, "deadly"), "suspect");
  quarantine.recordLoss(["first", "deadly"], "e2");
  quarantine.recordLoss(["other", "deadly"], "e3");
  assert.equal(quarantine.status(["new", "deadly"]), {
    type: "quarantined",
    partId: "deadly",
    lostRunners: 3,
  });
  assert.is(statusOf(quarantine, "first"), "clear", "explained by the deadly");
  assert.is(statusOf(quarantine, "unknown"), "clear");
  assert.is(statusOf(quarantine), "clear");
});

test("one crash told by several instances counts once", () => {
  const { quarantine } = create();
  quarantine.recordLoss(["p"], "e1");
  assert.is(quarantine.recordLoss(["p"], "e1"), false);
  for (let peer = 0; peer < 5; peer += 1) {
    const isNews = quarantine.merge([
      {
        partId: "p",
        losses: [{ incarnationId: "e1", ageMs: 10 * peer }],
        livedAgeMs: undefined,
      },
    ]);
    assert.is(isNews, false);
  }
  assert.equal(quarantine.status(["p"]), {
    type: "suspect",
    partId: "p",
    lostRunners: 1,
  });
});

test("a request that began after a loss and lived acquits its parts", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLoss(["p"], "e1");
  quarantine.recordLoss(["p"], "e2");
  clocks.advance(1_000);
  assert.is(quarantine.recordLived(["p"], 300), true);
  assert.is(statusOf(quarantine, "p"), "clear");
  assert.is(quarantine.recordLived(["p"]), false, "already clear");
  clocks.advance(10);
  quarantine.recordLoss(["p"], "e3");
  assert.is(quarantine.status(["p"]).type, "suspect");
  quarantine.recordLoss(["p"], "e4");
  assert.is(statusOf(quarantine, "p"), "suspect", "two losses since it lived");
});

test("a request that began before the loss does not acquit", () => {
  const { clocks, quarantine } = create();
  for (const n of [1, 2, 3]) {
    quarantine.recordLoss(["p"], `e${n}`);
    clocks.advance(300);
  }
  assert.is(quarantine.recordLived(["p"], 1_000), false);
  assert.equal(quarantine.status(["p"]), {
    type: "suspect",
    partId: "p",
    lostRunners: 3,
  });
  quarantine.recordLoss(["p"], "e4");
  clocks.advance(300);
  quarantine.recordLoss(["p"], "e5");
  assert.is(statusOf(quarantine, "p"), "quarantined");
});

test("a life that this instance saw before it heard of the loss acquits", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLived(["p"]);
  assert.is(quarantine.isEmpty, true, "a life is no suspicion");
  clocks.advance(100);
  quarantine.merge([
    {
      partId: "p",
      losses: [{ incarnationId: "e1", ageMs: 200 }],
      livedAgeMs: undefined,
    },
  ]);
  assert.is(statusOf(quarantine, "p"), "clear");
});

test("parts that always came together are refused together and tried apart", () => {
  const { clocks, quarantine } = create();
  for (const id of ["e1", "e2", "e3"])
    quarantine.recordLoss(["first", "middle"], id);
  assert.is(statusOf(quarantine, "first", "middle"), "quarantined");
  assert.is(statusOf(quarantine, "first"), "suspect");
  assert.is(statusOf(quarantine, "middle", "other"), "suspect");
  clocks.advance(100);
  quarantine.recordLived(["first", "other"]);
  assert.is(statusOf(quarantine, "first"), "clear");
  assert.is(statusOf(quarantine, "middle"), "quarantined");
});

test("a trial that crashes convicts the part it held", () => {
  const { quarantine } = create();
  for (const id of ["e1", "e2", "e3"])
    quarantine.recordLoss(["first", "middle"], id);
  quarantine.recordLoss(["first", "other"], "e4");
  assert.is(statusOf(quarantine, "first"), "quarantined");
  assert.is(statusOf(quarantine, "middle"), "clear");
});

test("two deadly parts at once are both quarantined", () => {
  const { clocks, quarantine } = create();
  for (const n of [1, 2, 3]) {
    quarantine.recordLoss(["first", "deadly-1"], `a${n}`);
    clocks.advance(50);
    quarantine.recordLived(["first"]);
    clocks.advance(50);
    quarantine.recordLoss(["first", "deadly-2"], `b${n}`);
  }
  assert.is(statusOf(quarantine, "deadly-1"), "quarantined");
  assert.is(statusOf(quarantine, "deadly-2"), "quarantined");
  assert.is(statusOf(quarantine, "first"), "clear");
});

test("a first part that lived is not convicted in place of two deadly parts", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLived(["first"]);
  clocks.advance(100);
  for (const n of [1, 2, 3, 4]) {
    quarantine.recordLoss(["first", "deadly-1"], `a${n}`);
    quarantine.recordLoss(["first", "deadly-2"], `b${n}`);
  }
  assert.is(statusOf(quarantine, "first", "deadly-1"), "quarantined");
  assert.is(statusOf(quarantine, "first", "deadly-2"), "quarantined");
  assert.is(statusOf(quarantine, "first", "other"), "clear");
});

test("innocent parts that waited on crashed engines are explained", () => {
  const { quarantine } = create();
  for (const id of ["e1", "e2", "e3", "e4"])
    quarantine.recordLoss(["first", "deadly"], id);
  for (const id of ["e1", "e2", "e4"]) quarantine.recordLoss(["innocent"], id);
  assert.is(statusOf(quarantine, "deadly"), "suspect", "tied with first");
  assert.is(statusOf(quarantine, "first", "deadly"), "quarantined");
  assert.is(statusOf(quarantine, "innocent"), "clear");
});

test("an innocent part is not convicted once its losses are old ones of a deadly part", () => {
  const { clocks, quarantine } = create();
  for (let loss = 0; loss < 100; loss += 1) {
    const parts = loss < 3 ? ["deadly", "innocent"] : ["deadly"];
    quarantine.recordLoss(parts, `e${loss}`);
    clocks.advance(300);
  }
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
  assert.is(statusOf(quarantine, "innocent"), "clear");
});

test("a part seen to live needs more losses than one that never lived", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLived(["first"]);
  clocks.advance(100);
  for (const n of [1, 2, 3, 4]) {
    quarantine.recordLoss(["first", `rare-${n}`], `e${n}`);
    assert.is(statusOf(quarantine, "first"), "suspect");
    clocks.advance(300);
  }
  quarantine.recordLoss(["first", "rare-5"], "e5");
  assert.is(statusOf(quarantine, "first"), "quarantined");
});

test("a verdict expires, and one further loss renews it", () => {
  const { clocks, quarantine } = create();
  quarantinePart(quarantine, "deadly");
  clocks.advance(9 * MINUTE_MS);
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
  clocks.advance(2 * MINUTE_MS);
  assert.is(statusOf(quarantine, "deadly"), "suspect", "a trial is allowed");
  quarantine.recordLoss(["deadly"], "later");
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
});

test("a verdict on a part that lived does not keep out its requests for long", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLived(["system"]);
  for (let n = 0; n < 5; n += 1) {
    clocks.advance(300);
    quarantine.recordLoss(["system"], `e${n}`);
  }
  assert.is(statusOf(quarantine, "system"), "quarantined");
  clocks.advance(31_000);
  assert.is(statusOf(quarantine, "system"), "suspect", "a trial is allowed");
  quarantine.recordLoss(["system"], "later");
  assert.is(statusOf(quarantine, "system"), "quarantined");
});

test("a suspicion without a verdict is forgotten", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLoss(["p"], "e1");
  clocks.advance(11 * MINUTE_MS);
  assert.is(statusOf(quarantine, "p"), "clear");
  assert.is(quarantine.isEmpty, true);
});

for (const spreadMs of [0, 1_000])
  test(`a part that lived is tried again after all engines failed within ${spreadMs} ms`, () => {
    const { clocks, quarantine } = create();
    quarantine.recordLived(["system"]);
    clocks.advance(1_000);
    const engineCount = 10;
    for (let n = 0; n < engineCount; n += 1) {
      quarantine.recordLoss(["system"], `e${n}`);
      clocks.advance(spreadMs / engineCount);
    }
    // From 2 x stable_window_ms on, sound requests must begin again.
    clocks.advance(8_000);
    assert.is.not(statusOf(quarantine, "system"), "quarantined");
  });

test.run();
