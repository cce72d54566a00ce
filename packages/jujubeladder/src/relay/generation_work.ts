import type {
  EngineService,
  GenerationRequest,
  RequestKind,
  RequestSettings,
} from "@jujubeladder/types";

/** A validated generation request with its resolved configuration. */
export interface GenerationWork {
  readonly request: GenerationRequest;
  readonly service: EngineService;
  readonly kind: RequestKind;
  readonly teamWeight: number;
  readonly settings: RequestSettings;
}
