/**
 * Lint rules beyond those of `deno lint`: exhaustive switches, no floating promises and whole words in names.
 */
import tseslint from "typescript-eslint";
import unicorn from "eslint-plugin-unicorn";

export default tseslint.config(
  { ignores: ["**/dist/**", "node_modules/**", "**/*.mjs"] },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.base],
    plugins: { unicorn },
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      "@typescript-eslint/switch-exhaustiveness-check": ["error", {
        allowDefaultCaseForExhaustiveSwitch: true,
        requireDefaultForNonUnion: true,
      }],
      "@typescript-eslint/no-floating-promises": ["error", {
        allowForKnownSafeCalls: [
          {
            from: "package",
            name: ["test", "describe", "it"],
            package: "node:test",
          },
        ],
      }],
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/await-thenable": "error",
      "@typescript-eslint/no-explicit-any": "error",
      "@typescript-eslint/no-non-null-assertion": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "unicorn/prevent-abbreviations": ["error", {
        checkFilenames: true,
        allowList: { args: true, mod: true, src: true },
        replacements: { env: false },
      }],
      "id-length": ["error", {
        min: 3,
        properties: "never",
        exceptions: [
          "_",
          "at",
          "id",
          "to",
          "by",
          "of",
          "is",
          "on",
          "ok",
          "no",
          "or",
          "in",
          "it",
          "up",
          "do",
          "vm",
        ],
      }],
    },
  },
);
