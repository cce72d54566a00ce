/**
 * Whether a service has had one software version only: `one`; `several`, or not
 * known for long enough; `not_confirmed` where the store could not be asked about
 * the time since the known list.
 */
export type OnlyVersion =
  | { readonly type: "one"; readonly softwareVersion: string }
  | { readonly type: "several" }
  | { readonly type: "not_confirmed" };
