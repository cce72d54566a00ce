import process from "node:process";

// roarr reads this variable once, at load time, so that this module must be
// imported before it.
process.env["ROARR_LOG"] ??= "true";
