import { request } from "undici";

const NARRATIVE_TOKENS = 24;

/** Sends a narrative, a verdict and a submission; prints the responses. */
export async function runDemoRequests(
  baseUrl: string,
  token: string,
  print: (line: string) => void,
): Promise<void> {
  const authorization = `Bearer ${token}`;
  const json = { authorization, "content-type": "application/json" };
  const chat = async (body: object) =>
    await request(`${baseUrl}/v1/chat/completions`, {
      method: "POST",
      headers: json,
      body: JSON.stringify(body),
    });

  const narrative = await chat({
    model: "writer",
    stream: true,
    messages: [
      { role: "user", content: `Tell it at length len=${NARRATIVE_TOKENS}` },
    ],
  });
  const events = (await narrative.body.text()).split("\n\n");
  const tokens = events.filter((event) => event.includes('"content"')).length;
  const isComplete = events.some((event) => event === "data: [DONE]");
  print(`demo=narrative tokens=${tokens} is_whole=${isComplete}`);

  const verdict = await chat({
    model: "writer",
    messages: [{ role: "user", content: "Yes or no? len=3" }],
  });
  const completion = (await verdict.body.json()) as {
    readonly choices: readonly {
      readonly message: { readonly content: string };
    }[];
  };
  const content = completion.choices[0]?.message.content.trim() ?? "";
  print(`demo=verdict answer="${content}"`);

  const minted = await request(`${baseUrl}/v1/tickets`, {
    method: "POST",
    headers: json,
    body: JSON.stringify({ service: "filing", path: "/submissions" }),
  });
  const { ticket } = (await minted.body.json()) as { readonly ticket: string };
  const submission = await request(`${baseUrl}/v1/tickets/${ticket}`, {
    method: "PUT",
    headers: json,
    body: JSON.stringify({ forecast: 67 }),
  });
  const outcome = String(submission.headers["x-outcome"]);
  const receipt = await submission.body.text();
  print(`demo=submission outcome=${outcome} answer=${receipt}`);
}
