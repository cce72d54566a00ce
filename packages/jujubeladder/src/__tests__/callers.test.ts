import OpenAI from "openai";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DemoFleet } from "../__fixtures__/demo_fleet.js";

const test = suite("callers");
const fleet = new DemoFleet();

function createOpenAi(apiKey = fleet.token): OpenAI {
  return new OpenAI({ apiKey, baseURL: `${fleet.baseUrl}/v1`, maxRetries: 0 });
}

async function post(
  path: string,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<{ readonly status: number; readonly type: string }> {
  const response = await request(fleet.baseUrl + path, {
    method: "POST",
    headers: { authorization: `Bearer ${fleet.token}`, ...headers },
    body,
  });
  const json = (await response.body.json()) as { error?: { type: string } };
  return { status: response.statusCode, type: json.error?.type ?? "" };
}

test.before(async () => {
  await fleet.start();
});

test.after(async () => {
  await fleet.stop();
});

test("the openai client reads a stream", async () => {
  const stream = await createOpenAi().chat.completions.create({
    model: "writer",
    stream: true,
    messages: [{ role: "user", content: "len=30" }],
  });
  const tokens: string[] = [];
  for await (const chunk of stream) {
    const content = chunk.choices[0]?.delta.content;
    if (content) tokens.push(content);
  }
  assert.is(tokens.length, 30);
  assert.ok(tokens.every((token, index) => token.startsWith(`w${index}.`)));
});

test("the openai client reads a completion and the models", async () => {
  const openai = createOpenAi();
  const response = await openai.chat.completions.create({
    model: "writer",
    max_tokens: 4,
    messages: [{ role: "user", content: "len=30" }],
  });
  assert.is(response.choices[0]?.finish_reason, "stop");
  const words = response.choices[0]?.message.content?.trim().split(" ");
  assert.is(words?.length, 4);
  const models = await openai.models.list();
  assert.equal(
    models.data.map((model) => model.id),
    ["writer"],
  );
});

test("the openai client receives typed errors", async () => {
  const getStatus = async (openai: OpenAI, model: string) => {
    try {
      await openai.chat.completions.create({
        model,
        messages: [{ role: "user", content: "x" }],
      });
      return 200;
    } catch (error) {
      return error instanceof OpenAI.APIError ? error.status : undefined;
    }
  };
  assert.is(await getStatus(createOpenAi("nobody"), "writer"), 401);
  assert.is(await getStatus(createOpenAi(), "nothing"), 404);
});

test("invalid input is rejected with a typed 4xx", async () => {
  const chat = "/v1/chat/completions";
  const huge = JSON.stringify({ model: "writer", x: "x".repeat(1_100_000) });
  const message = [{ role: "user", content: "x" }];
  const unknownKind = JSON.stringify({
    model: "writer",
    messages: message,
    metadata: { kind: "poem" },
  });
  const toBody = (body: object) => JSON.stringify(body);
  assert.equal(await post(chat, "{"), { status: 400, type: "invalid_request" });
  assert.equal(await post(chat, "{}"), {
    status: 400,
    type: "invalid_request",
  });
  assert.equal(await post(chat, huge), { status: 413, type: "too_large" });
  assert.equal(await post(chat, unknownKind), {
    status: 400,
    type: "unknown_kind",
  });
  assert.equal(await post(chat, "{}", { "last-event-id": "forged.1" }), {
    status: 400,
    type: "invalid_event_id",
  });
  assert.equal(
    await post("/v1/tickets", toBody({ service: "none", path: "/x" })),
    { status: 404, type: "unknown_route" },
  );
  assert.equal(await post("/v1/services/filing/unknown", "{}"), {
    status: 404,
    type: "unknown_route",
  });
});

test("a stream is resumed after its last event id", async () => {
  const headers = {
    authorization: `Bearer ${fleet.token}`,
    "content-type": "application/json",
  };
  const url = `${fleet.baseUrl}/v1/chat/completions`;
  const body = JSON.stringify({
    model: "writer",
    stream: true,
    messages: [{ role: "user", content: "len=12" }],
  });
  const first = await request(url, { method: "POST", headers, body });
  const ids = [...(await first.body.text()).matchAll(/^id: (.*)$/gm)];
  const lastEventId = ids[4]?.[1] ?? "";
  const second = await request(url, {
    headers: { ...headers, "last-event-id": lastEventId },
  });
  const rest = await second.body.text();
  assert.is([...rest.matchAll(/"content":"w/g)].length, 7);
  assert.ok(rest.includes("w5."));
  assert.ok(rest.includes("data: [DONE]"));
});

test.run();
