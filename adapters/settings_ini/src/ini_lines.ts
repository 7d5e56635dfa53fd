/**
 * Where the keys of an INI text stand, so that a fault can name its line, and which of them stand
 * twice, which the parser itself passes over.
 */

/** A key that stands twice. */
export interface RepeatedKey {
  readonly key: string;
  readonly line: number;
  readonly firstLine: number;
}

const SECTION_PATTERN = /^\[([^\]]+)\]$/;
const KEY_PATTERN = /^([^=;#]+?)\s*=\s*(.*)$/;

/** Lines of the sections and keys of an INI text, counted from 1. */
export class IniLines {
  readonly repeated: readonly RepeatedKey[];
  readonly #lines = new Map<string, number>();
  readonly #values = new Map<string, string>();

  constructor(text: string) {
    const repeated: RepeatedKey[] = [];
    let section = "";
    text.split("\n").forEach((content, index) => {
      const heading = SECTION_PATTERN.exec(content.trim())?.[1];
      section = heading ?? section;
      const [, name, value] = KEY_PATTERN.exec(content.trim()) ?? [];
      const key = heading ??
        (name === undefined ? undefined : join(section, name));
      if (key === undefined) return;
      if (value !== undefined) this.#values.set(key, value);
      const line = index + 1;
      const firstLine = this.#lines.get(key);
      if (firstLine === undefined) this.#lines.set(key, line);
      else repeated.push({ key, line, firstLine });
    });
    this.repeated = repeated;
  }

  /** Every key with a value, with its section before it. */
  keys(): readonly string[] {
    return [...this.#values.keys()];
  }

  /** The keys that match, with their values. */
  valuesWhere(pattern: RegExp): readonly (readonly [string, string])[] {
    return [...this.#values].filter(([key]) => pattern.test(key));
  }

  /** Line of a key, or of the nearest section around it; undefined where neither stands. */
  lineOf(key: string): number | undefined {
    const line = this.#lines.get(key);
    const end = key.lastIndexOf(".");
    if (line !== undefined || end < 0) return line;
    return this.lineOf(key.slice(0, end));
  }
}

function join(section: string, name: string): string {
  return section === "" ? name : `${section}.${name}`;
}
