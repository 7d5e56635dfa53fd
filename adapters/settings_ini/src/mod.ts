/**
 * Settings read from INI files and checked against a schema.
 */
export * from "./setting_types.ts";
export * from "./settings_reader.ts";
