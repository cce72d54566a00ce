/** Ids come from callers and peers. */
const MAX_ID_LENGTH = 128;

/** True if an id is neither empty nor too long to be recorded. */
export function isSoundId(id: string): boolean {
  return id.length > 0 && id.length <= MAX_ID_LENGTH;
}
