/**
 * Enables roarr. It reads the environment variable only once, when it is loaded, so this module must be
 * imported before roarr.
 */
process.env["ROARR_LOG"] ??= "true";
