import { suite } from "uvu";
import * as assert from "uvu/assert";
import { authenticateCaller } from "../decisions/authenticate_caller.js";
import type { CallerAuthentication } from "../model/caller_authentication.js";
import type { GatewayTeam } from "../model/gateway_team.js";

const test = suite("authenticate caller");
const TEAM = { teamId: "a", apiKeys: ["k"], priority: undefined };

const NONE: CallerAuthentication = { type: "none" };
const EMPTY: CallerAuthentication = { type: "api_key", teams: [] };
const ONE: CallerAuthentication = { type: "api_key", teams: [TEAM] };

function identify(
  authentication: CallerAuthentication,
  apiKey: string | undefined,
  isPublic = false,
): string {
  const teams: readonly GatewayTeam[] =
    authentication.type === "none" ? [] : authentication.teams;
  return authenticateCaller(
    { route: { isPublic }, apiKey },
    {
      authentication,
      findTeam: (key) => teams.find(({ apiKeys }) => apiKeys.includes(key)),
    },
  ).type;
}

test("only a key that the configuration names is accepted", () => {
  assert.is(identify(ONE, "k"), "team");
  for (const authentication of [NONE, EMPTY, ONE]) {
    assert.is(identify(authentication, "other"), "unknown_key");
  }
  assert.is(identify(EMPTY, "k"), "unknown_key");
  assert.is(identify(NONE, "k"), "unknown_key");
});

test("a key is needed where the configuration has a list of teams, be it empty", () => {
  assert.is(identify(ONE, undefined), "unknown_key");
  assert.is(identify(EMPTY, undefined), "unknown_key");
  assert.is(identify(NONE, undefined), "anonymous");
});

test("a public route looks at no key", () => {
  for (const authentication of [NONE, EMPTY, ONE]) {
    for (const apiKey of [undefined, "k", "other"])
      assert.is(identify(authentication, apiKey, true), "anonymous");
  }
});

test.run();
