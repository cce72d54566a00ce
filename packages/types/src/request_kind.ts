/** A kind of generation, such as narrative or verdict. */
export interface RequestKind {
  readonly kindId: string;
  readonly weight: number;
  readonly isShort: boolean;
}
