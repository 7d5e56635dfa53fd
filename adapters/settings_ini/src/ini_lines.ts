/**
 * Line numbers of the keys of an INI text, so that a fault can name its line. Duplicate keys are found
 * too, because the INI parser accepts them silently.
 */

/** A key that occurs more than once. */
export interface DuplicateKey {
  readonly key: string;
  readonly line: number;
  readonly firstLine: number;
}

const SECTION_PATTERN = /^\[([^\]]+)\]$/;
const KEY_PATTERN = /^([^=;#]+?)\s*=\s*(.*)$/;

/** Lines of the sections and keys of an INI text, counted from 1. */
export class IniLines {
  readonly duplicates: readonly DuplicateKey[];
  readonly #lines = new Map<string, number>();
  readonly #values = new Map<string, string>();

  constructor(text: string) {
    const duplicates: DuplicateKey[] = [];
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
      else duplicates.push({ key, line, firstLine });
    });
    this.duplicates = duplicates;
  }

  /** Every key with a value, prefixed with its section. */
  keys(): readonly string[] {
    return [...this.#values.keys()];
  }

  /** The keys that match, with their values. */
  valuesWhere(pattern: RegExp): readonly (readonly [string, string])[] {
    return [...this.#values].filter(([key]) => pattern.test(key));
  }

  /** Line of a key, or of the nearest section around it; undefined when the text has neither. */
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
