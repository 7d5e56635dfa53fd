/**
 * Switches roarr on. It reads the environment once, when it is loaded, so this module is imported
 * before it.
 */
process.env["ROARR_LOG"] ??= "true";
