/** The entry instance, for embedding. */
export { EntryInstance } from "./entry/entry_instance.js";
export type { EntrySettings } from "./settings/entry_settings.js";
export { loadSettings } from "./settings/load_settings.js";
