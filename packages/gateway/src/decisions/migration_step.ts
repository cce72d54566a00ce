import type { MigrationAction } from "./migration_action.js";
import type { MigrationState } from "./migration_state.js";

/** The next state of a migration, and the action to perform. */
export interface MigrationStep {
  readonly state: MigrationState;
  readonly action?: MigrationAction | undefined;
}
