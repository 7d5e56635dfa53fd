/**
 * Settings read from INI files and checked against a schema.
 */
export * from "./ini_lines.ts";
export * from "./setting_types.ts";
export * from "./settings_reader.ts";
export * from "./settings_section.ts";
