/** Fields of a log line, in the order in which they are printed. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;
