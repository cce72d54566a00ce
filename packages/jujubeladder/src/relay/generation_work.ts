import type {
  EngineService,
  GenerationRequest,
  RequestKind,
  RequestSettings,
} from "@jujubeladder/types";

/** A generation with all that its configuration says of it. */
export interface GenerationWork {
  readonly request: GenerationRequest;
  readonly service: EngineService;
  readonly kind: RequestKind;
  readonly teamWeight: number;
  readonly settings: RequestSettings;
}
