import type { InstanceList, Result } from "@jujubeladder/types";
import { describeError, parseJson } from "@jujubeladder/utils";
import { z } from "zod";

const MAX_NAME_LENGTH = 255;
const MAX_PORT = 65_535;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const port = z.number().int().min(1).max(MAX_PORT);
const host = name.refine((text) => URL.canParse(`http://${text}:1`));
const location = {
  region: z.string().max(MAX_NAME_LENGTH),
  availabilityZone: z.string().max(MAX_NAME_LENGTH),
  state: z.enum(["live", "leaving"]),
};
const instance = z.object({
  instanceId: name,
  host,
  peerPort: port,
  ...location,
});
const runner = z.object({
  runnerId: name,
  serviceId: name,
  host,
  port,
  ...location,
});
const instanceList = z.object({
  version: z.number().int(),
  instances: z.array(z.unknown()),
  runners: z.array(z.unknown()),
});

/**
 * Parses the platform's instance list entry by entry, so that an odd one hides
 * no other; `refused` says of each entry that is left out what is odd.
 */
export function parseInstanceList(
  text: string,
): Result<
  { readonly list: InstanceList; readonly refused: readonly string[] },
  string
> {
  const parsed = instanceList.safeParse(parseJson(text));
  if (!parsed.success) {
    return { ok: false, error: describeError(parsed.error) };
  }
  const { version, instances, runners } = parsed.data;
  const refused: string[] = [];
  const parseEntries = <Entry>(
    list: string,
    schema: z.ZodType<Entry>,
    entries: readonly unknown[],
  ): readonly Entry[] =>
    entries.flatMap((entry, index) => {
      const result = schema.safeParse(entry);
      if (result.success) return [result.data];
      const [issue] = result.error.issues;
      const path = [list, index, ...(issue?.path ?? [])].join(".");
      refused.push(`${path}: ${issue?.message ?? "not valid"}`);
      return [];
    });
  const list = {
    version,
    instances: parseEntries("instances", instance, instances),
    runners: parseEntries("runners", runner, runners),
  };
  return { ok: true, value: { list, refused } };
}
