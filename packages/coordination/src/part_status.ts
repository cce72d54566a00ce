/** Status of a request by its prompt parts; names the part that decides. */
export type PartStatus =
  | { readonly type: "clear" }
  | {
      readonly type: "suspect";
      readonly partId: string;
      readonly lostRunners: number;
    }
  | {
      readonly type: "quarantined";
      readonly partId: string;
      readonly lostRunners: number;
    };
