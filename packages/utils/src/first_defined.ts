/** Returns the first value that is not undefined; undefined if there is none. */
export async function firstDefined<Value>(
  promises: readonly Promise<Value | undefined>[],
): Promise<Value | undefined> {
  const defined = promises.map(async (promise) => {
    const value = await promise;
    if (value === undefined) throw new Error("no value");
    return value;
  });
  return await Promise.any(defined).catch(() => undefined);
}
