/** Reads, validates and watches the configuration and the instance list. */
export { configDocumentSchema } from "./config_document_schema.js";
export type { ConfigError } from "./config_error.js";
export { ConfigView } from "./config_view.js";
export { findConfigWarnings } from "./find_config_warnings.js";
export { InstanceListView } from "./instance_list_view.js";
export { parseConfigDocument } from "./parse_config_document.js";
export { PlatformClient } from "./platform_client.js";
export { requestSettingsSchema } from "./request_settings_schema.js";
export { resolveSettings } from "./resolve_settings.js";
export { validateReferences } from "./validate_references.js";
export { watchConfig } from "./watch_config.js";
export { watchInstances } from "./watch_instances.js";
