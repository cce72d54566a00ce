import process from "node:process";

// roarr reads this variable once, when it is loaded, so this module must be
// imported first.
process.env["ROARR_LOG"] ??= "true";
